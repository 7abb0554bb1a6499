/* The keeper of keys: who keeps one, and its hand-over to one heir. */
#include <gtest/gtest.h>

#include <auburnstile/internal/keeper.h>
#include <auburnstile/link.h>
#include <gio/gio.h>

#include <string>

namespace
{

const guint64 SELF = 100;

/* An entry that takes keys and never acknowledges them. */
class SilentHeir
{
      public:
	SilentHeir(const char *name, guint64 incarnation)
	{
		GSocketListener *listener = g_socket_listener_new();
		guint16 port = g_socket_listener_add_any_inet_port(listener,
								   NULL, NULL);

		g_socket_listener_close(listener);
		g_object_unref(listener);
		member = aub_member_new();
		aub_string_set(&member->name, name);
		aub_string_set(&member->zone, "b");
		aub_string_set(&member->inner_address,
			       ("127.0.0.1:" + std::to_string(port)).c_str());
		member->incarnation = incarnation;
		hello = (struct aub_hello *)aub_message_new(AUB_MESSAGE_HELLO);
		aub_string_set(&hello->name, name);
		hello->incarnation = incarnation;
		server = aub_link_server_new(member->inner_address, hello,
					     accept, this, NULL);
		EXPECT_NE(server, nullptr);
	}

	~SilentHeir()
	{
		aub_link_free(link);
		aub_link_server_free(server);
		aub_message_free(&hello->base);
		aub_member_free(member);
	}

	struct aub_member *member;
	int parts = 0;

      private:
	static const struct aub_link_callbacks *accept(
		struct aub_link *link, const struct aub_hello *hello,
		void *server_context, void **context)
	{
		static const struct aub_link_callbacks callbacks = {
			.up = NULL,
			.message = on_message,
			.down = on_down,
		};

		((SilentHeir *)server_context)->link = link;
		*context = server_context;
		return &callbacks;
	}

	static void on_message(struct aub_link *link,
			       struct aub_message *message, void *context)
	{
		if (message->type == AUB_MESSAGE_KEYS)
			((SilentHeir *)context)->parts++;
		aub_message_free(message);
	}

	static void on_down(struct aub_link *link, const GError *error,
			    void *context)
	{
		((SilentHeir *)context)->link = NULL;
		aub_link_free(link);
	}

	struct aub_hello *hello;
	struct aub_link_server *server;
	struct aub_link *link = NULL;
};

/* What a keeper needs around it: a view with two members, and a relay. */
class Keeper : public testing::Test
{
      protected:
	void SetUp() override
	{
		hello = (struct aub_hello *)aub_message_new(AUB_MESSAGE_HELLO);
		hello->role = AUB_ROLE_ENTRY;
		hello->incarnation = SELF;
		aub_string_set(&hello->name, "self");
		aub_string_set(&hello->address, "127.0.0.1:0");
		timers = aub_timer_service_new(NULL);
		struct aub_entry_view_options view_options = {};
		view_options.control = "127.0.0.1:1";
		view_options.hello = hello;
		view_options.timers = timers;
		view_options.changed = ignore_change;
		view = aub_entry_view_new(&view_options);
		struct aub_relay_options relay_options = {};
		relay_options.hello = hello;
		relay_options.timers = timers;
		relay_options.changed = ignore_change;
		relay = aub_relay_new(&relay_options, NULL);
		ASSERT_NE(relay, nullptr);
		struct aub_keeper_options options = {};
		options.name = "self";
		options.zone = "a";
		options.incarnation = SELF;
		options.limit_bytes = 1 << 20;
		options.keep_us = 60 * AUB_SECOND;
		options.view = view;
		options.timers = timers;
		keeper = aub_keeper_new(&options);
		show();
	}

	void TearDown() override
	{
		aub_keeper_free(keeper);
		aub_relay_free(relay);
		aub_entry_view_free(view);
		aub_timer_service_free(timers);
		aub_message_free(&hello->base);
	}

	void show()
	{
		struct aub_view *message =
			(struct aub_view *)aub_message_new(AUB_MESSAGE_VIEW);

		for (const SilentHeir *one : { &first, &second })
			g_ptr_array_add(message->members,
					aub_member_copy(one->member));
		message->serve = true;
		message->serve_ms = 60000;
		aub_entry_view_apply(view, message);
		aub_message_free(&message->base);
	}

	static void ignore_change(void *context)
	{
	}

	static void on_done(guint64 successor, void *context)
	{
		Keeper *test = (Keeper *)context;

		test->successor = successor;
		test->done = true;
	}

	SilentHeir first{ "first", 201 };
	SilentHeir second{ "second", 202 };
	struct aub_hello *hello;
	struct aub_timer_service *timers;
	struct aub_entry_view *view;
	struct aub_relay *relay;
	struct aub_keeper *keeper;
	guint64 successor = 0;
	bool done = false;
};

} // namespace

/*
 * A stopping entry hands its keys over; the heir takes all of them, and its
 * acknowledgement is lost. If a second entry got the keys too, a caller's
 * request could begin at one and its repeat at the other, and run twice.
 * So only one entry may ever be sent the last part.
 */
TEST_F(Keeper, WhoeverWasSentTheLastPartStaysTheHeir)
{
	aub_keeper_hand_over(keeper, relay, on_done, this);
	while (!done)
		g_main_context_iteration(NULL, TRUE);
	EXPECT_EQ(first.parts + second.parts, 1);
	EXPECT_EQ(successor, first.parts ? 201u : 202u);
}
