/* Ownership of idempotency keys and their transfer to a single successor. */
#include <gtest/gtest.h>

#include <auburnstile/internal/idempotency.h>
#include <auburnstile/link.h>
#include <gio/gio.h>

#include <string>

namespace
{

const guint64 SELF = 100;

/* An entry that receives keys and never acknowledges them. */
class UnresponsiveSuccessor
{
      public:
	UnresponsiveSuccessor(const char *name, guint64 incarnation)
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

	~UnresponsiveSuccessor()
	{
		aub_link_free(link);
		aub_link_server_free(server);
		aub_message_free(&hello->base);
		aub_member_free(member);
	}

	struct aub_member *member;
	int received_parts = 0;

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

		((UnresponsiveSuccessor *)server_context)->link = link;
		*context = server_context;
		return &callbacks;
	}

	static void on_message(struct aub_link *link,
			       struct aub_message *message, void *context)
	{
		if (message->type == AUB_MESSAGE_KEYS)
			((UnresponsiveSuccessor *)context)->received_parts++;
		aub_message_free(message);
	}

	static void on_down(struct aub_link *link, const GError *error,
			    void *context)
	{
		((UnresponsiveSuccessor *)context)->link = NULL;
		aub_link_free(link);
	}

	struct aub_hello *hello;
	struct aub_link_server *server;
	struct aub_link *link = NULL;
};

/* Fixture with a view of two members, and a relay. */
class IdempotencyTransfer : public testing::Test
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
		struct aub_idempotency_options options = {};
		options.name = "self";
		options.zone = "a";
		options.incarnation = SELF;
		options.max_bytes = 1 << 20;
		options.retention_us = 60 * AUB_SECOND;
		options.view = view;
		options.timers = timers;
		idempotency = aub_idempotency_new(&options);
		apply_view();
	}

	void TearDown() override
	{
		aub_idempotency_free(idempotency);
		aub_relay_free(relay);
		aub_entry_view_free(view);
		aub_timer_service_free(timers);
		aub_message_free(&hello->base);
	}

	void apply_view()
	{
		struct aub_view *message =
			(struct aub_view *)aub_message_new(AUB_MESSAGE_VIEW);

		for (const UnresponsiveSuccessor *one : { &first, &second })
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
		IdempotencyTransfer *test = (IdempotencyTransfer *)context;

		test->successor = successor;
		test->done = true;
	}

	UnresponsiveSuccessor first{ "first", 201 };
	UnresponsiveSuccessor second{ "second", 202 };
	struct aub_hello *hello;
	struct aub_timer_service *timers;
	struct aub_entry_view *view;
	struct aub_relay *relay;
	struct aub_idempotency *idempotency;
	guint64 successor = 0;
	bool done = false;
};

} // namespace

/*
 * A stopping entry transfers its keys, and the successor's acknowledgement is
 * lost. If a second entry got the keys too, a request could start at one and
 * its repeat at the other, and be executed twice. Only one entry may ever be
 * sent the last part.
 */
TEST_F(IdempotencyTransfer, SendsTheLastPartToOnlyOneSuccessor)
{
	aub_idempotency_transfer(idempotency, relay, on_done, this);
	while (!done)
		g_main_context_iteration(NULL, TRUE);
	EXPECT_EQ(first.received_parts + second.received_parts, 1);
	EXPECT_EQ(successor, first.received_parts ? 201u : 202u);
}
