/*
 * Real control processes with the stand-in store; the test simulates the
 * entries.
 */
#include <gtest/gtest.h>

#include <auburnstile/link.h>
#include <libsoup/soup.h>
#include <signal.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "fleet/fleet.h"
#include "fleet/fleet_inventory.h"
}

/* An entry as seen by its control: applies and acknowledges views. */
struct FakeEntry {
	struct aub_link *link = nullptr;
	guint64 incarnation;
	guint64 config_version = 0;
	guint64 epoch = 0;
	guint config_transfers = 0; /* views that contained a configuration */
	bool serve = false;
	bool paused = false;
	bool stopping = false;
	guint64 successor = 0;
	std::vector<std::pair<guint64, guint64>>
		successors; /* incarnation, successor */
	std::vector<std::string> owners;
	bool down = false;
	guint64 min_serving_version =
		0; /* a lease for an older version is an error */

	FakeEntry(const struct fleet_member *member, guint64 number)
	    : incarnation(number)
	{
		static const struct aub_link_callbacks callbacks = {
			nullptr,
			on_message,
			on_down,
		};
		auto *hello =
			(struct aub_hello *)aub_message_new(AUB_MESSAGE_HELLO);

		hello->role = AUB_ROLE_ENTRY;
		hello->incarnation = number;
		aub_string_set(&hello->name, member->name);
		aub_string_set(&hello->zone, member->zone);
		aub_string_set(&hello->address, member->inner);
		aub_string_set(&hello->callers_address, member->callers);
		link = aub_link_connect(member->control_inner, hello, 1000,
					&callbacks, this);
		aub_message_free(&hello->base);
	}

	~FakeEntry()
	{
		aub_link_free(link);
	}

	static void on_message(struct aub_link *link,
			       struct aub_message *message, void *context)
	{
		auto *self = (FakeEntry *)context;

		if (message->type == AUB_MESSAGE_VIEW && !self->paused)
			self->apply_view((struct aub_view *)message);
		aub_message_free(message);
	}

	static void on_down(struct aub_link *link, const GError *error,
			    void *context)
	{
		((FakeEntry *)context)->down = true;
	}

	void apply_view(const struct aub_view *view)
	{
		EXPECT_GE(view->config_version, config_version)
			<< "version decreased";
		EXPECT_FALSE(view->serve &&
			     view->config_version < min_serving_version);
		config_transfers += view->config.length > 0;
		if (view->config.length)
			config_version = view->config_version;
		epoch = view->epoch;
		serve = view->serve;
		owners.clear();
		for (guint i = 0; i < view->assignments->len; i++)
			owners.push_back(((struct aub_assignment *)
						  view->assignments->pdata[i])
						 ->owner);
		successors.clear();
		for (guint i = 0; i < view->members->len; i++) {
			auto *member =
				(struct aub_member *)view->members->pdata[i];

			successors.push_back(
				{ member->incarnation, member->successor });
		}
		acknowledge();
	}

	void acknowledge()
	{
		auto *ack = (struct aub_view_ack *)aub_message_new(
			AUB_MESSAGE_VIEW_ACK);

		ack->config_version = config_version;
		ack->epoch = epoch;
		ack->stopping = stopping;
		ack->successor = successor;
		ack->number = (guint64)(g_get_monotonic_time() / 1000);
		aub_link_send(link, &ack->base);
		aub_message_free(&ack->base);
	}

	bool owns(const std::string &name)
	{
		for (auto &owner : owners)
			if (owner == name)
				return true;
		return false;
	}
};

class Control : public ::testing::Test
{
      protected:
	struct fleet *fleet = nullptr;
	std::string inventory;
	std::vector<std::unique_ptr<FakeEntry>> entries;

	void start(guint members, bool with_entries, bool proxies = false)
	{
		struct fleet_service services[3] = {};
		const char *names[] = { "calendar", "fees", "news" };
		const char *paths[] = { "/", "/fees", "/news" };

		for (int i = 0; i < 3; i++) {
			services[i].name = names[i];
			services[i].path = paths[i];
			services[i].upstreams = 3;
		}
		struct fleet_options options = {};
		GError *error = nullptr;
		char *text = fleet_inventory_text(services, 3, 3);

		inventory = text;
		g_free(text);
		options.inventory = inventory.c_str();
		options.members = members;
		options.proxies = proxies;
		fleet = fleet_new(&options, &error);
		ASSERT_TRUE(fleet) << error->message;
		for (guint i = 0; i < members; i++)
			ASSERT_TRUE(fleet_start_control(fleet, member_at(i),
							&error))
				<< error->message;
		ASSERT_TRUE(wait_until([&] { return count_live(0) == members; },
				       10));
		for (guint i = 0; with_entries && i < members; i++)
			entries.push_back(
				std::make_unique<FakeEntry>(member_at(i),
							    1000 + i));
	}

	void TearDown() override
	{
		entries.clear();
		fleet_free(fleet, HasFailure());
	}

	struct fleet_member *member_at(guint i)
	{
		return fleet_member(fleet, i);
	}

	/*
	 * Runs the main loop until `condition` returns true; returns false
	 * after `seconds`.
	 */
	bool wait_until(const std::function<bool()> &condition, double seconds)
	{
		gint64 end = g_get_monotonic_time() + (gint64)(seconds * 1e6);

		while (!condition()) {
			if (g_get_monotonic_time() > end)
				return false;
			fleet_run_main_loop_ms(20);
		}
		return true;
	}

	JsonObject *get(guint i, const char *path)
	{
		guint status = 0;
		JsonNode *node = fleet_admin(fleet, member_at(i), "GET", path,
					     nullptr, &status, nullptr);
		JsonObject *object = nullptr;

		if (node && status == 200)
			object = json_object_ref(json_node_get_object(node));
		if (node)
			json_node_unref(node);
		return object;
	}

	gint64 status_number(guint i, const char *name)
	{
		JsonObject *status = get(i, "/v1/status");
		gint64 value = -1;

		if (status) {
			value = json_object_get_int_member(status, name);
			json_object_unref(status);
		}
		return value;
	}

	guint count_live(guint i)
	{
		JsonObject *status = get(i, "/v1/status");
		guint count = 0;

		if (!status)
			return 0;
		JsonArray *list =
			json_object_get_array_member(status, "members");
		for (guint j = 0; j < json_array_get_length(list); j++) {
			JsonObject *it = json_array_get_object_element(list, j);

			count += !strcmp(json_object_get_string_member(it,
								       "state"),
					 "live");
		}
		json_object_unref(status);
		return count;
	}

	/* An asynchronous request to a control. */
	struct Call {
		guint status = 0;
		std::string body;
		bool done = false;
	};

	std::shared_ptr<Call> post(guint i, const std::string &path,
				   const std::string &body)
	{
		auto call = std::make_shared<Call>();
		SoupSession *session = soup_session_new();
		std::string url = std::string("http://") +
				  member_at(i)->control_admin + path;
		SoupMessage *message = soup_message_new("POST", url.c_str());
		GBytes *bytes = g_bytes_new(body.data(), body.size());
		struct PendingCall {
			std::shared_ptr<Call> call;
			SoupMessage *message;
		};
		std::string bearer = std::string("Bearer ") + fleet->token;

		soup_message_headers_append(soup_message_get_request_headers(
						    message),
					    "Authorization", bearer.c_str());
		soup_message_set_request_body_from_bytes(message,
							 "application/json",
							 bytes);
		soup_session_send_and_read_async(
			session, message, 0, nullptr,
			[](GObject *source, GAsyncResult *result,
			   void *context) {
				auto *pending_call = (PendingCall *)context;
				GBytes *answer =
					soup_session_send_and_read_finish(
						SOUP_SESSION(source), result,
						nullptr);

				pending_call->call->status =
					soup_message_get_status(
						pending_call->message);
				if (answer) {
					gsize n;
					auto *p = (const char *)
						g_bytes_get_data(answer, &n);

					pending_call->call->body.assign(p, n);
					g_bytes_unref(answer);
				}
				pending_call->call->done = true;
				g_object_unref(pending_call->message);
				delete pending_call;
			},
			new PendingCall{ call, message });
		g_bytes_unref(bytes);
		g_object_unref(session);
		return call;
	}

	std::string apply_body(guint64 base)
	{
		JsonObject *object = json_object_new();
		JsonNode *node =
			json_node_init_object(json_node_alloc(), object);

		json_object_set_int_member(object, "base", (gint64)base);
		json_object_set_string_member(object, "inventory",
					      inventory.c_str());
		json_object_set_string_member(object, "author", "test");
		char *text = json_to_string(node, FALSE);
		std::string body = text;

		g_free(text);
		json_node_unref(node);
		json_object_unref(object);
		return body;
	}

	std::shared_ptr<Call> apply(guint i, guint64 base)
	{
		auto call = post(i, "/v1/config/apply", apply_body(base));

		EXPECT_TRUE(wait_until([&] { return call->done; }, 14));
		return call;
	}

	bool all_have_version(gint64 version, guint from = 0)
	{
		for (guint i = from; i < fleet->members->len; i++)
			if (status_number(i, "config_version") < version)
				return false;
		return true;
	}

	guint64 store_calls()
	{
		guint status;
		char *url = g_strdup_printf("http://%s/calls",
					    fleet->store->address);
		char *text = child_http("GET", url, nullptr, nullptr, 2000,
					&status, nullptr);
		JsonNode *node = json_from_string(text, nullptr);
		JsonObject *object = json_node_get_object(node);
		guint64 sum =
			(guint64)json_object_get_int_member(object, "total");

		json_node_unref(node);
		g_free(text);
		g_free(url);
		return sum;
	}
};

TEST_F(Control, ActivatesChangeOnAllEntriesAndAssignsOwners)
{
	start(6, true);
	auto call = apply(4, 0);

	EXPECT_EQ(call->status, 200u) << call->body;
	EXPECT_NE(call->body.find("\"everywhere\":true"), std::string::npos)
		<< call->body;
	for (auto &entry : entries) {
		EXPECT_EQ(entry->config_version, 1u);
		EXPECT_EQ(entry->config_transfers, 1u)
			<< "configuration sent more than once";
		EXPECT_TRUE(entry->serve);
	}
	EXPECT_TRUE(wait_until(
		[&] {
			for (auto &entry : entries)
				if (entry->owners.size() != 3)
					return false;
			return true;
		},
		8));
}

/* The store counts every call; an idle fleet must cause few of them. */
TEST_F(Control, OnlyFewControlsWatchTheStore)
{
	start(6, false);
	ASSERT_EQ(apply(0, 0)->status, 200u);
	fleet_run_main_loop_ms(5500);
	guint64 before = store_calls();
	fleet_run_main_loop_ms(3000);
	double a_second = (double)(store_calls() - before) / 3;

	printf("6 controls, one region: %.1f calls a second\n", a_second);
	EXPECT_LE(a_second, 6);
}

/*
 * While the store is down, callers continue to be served with the current
 * configuration and an operator is told immediately that nothing was changed.
 * Once the store is back, the same change succeeds.
 */
TEST_F(Control, StoreOutageBlocksChangesButNotServing)
{
	start(4, true);
	ASSERT_EQ(apply(1, 0)->status, 200u);
	ASSERT_TRUE(fleet_store_fault(fleet, "{\"down\":\"refuse\"}"));
	fleet_run_main_loop_ms(5000);
	for (auto &entry : entries)
		EXPECT_TRUE(entry->serve);
	auto refused = apply(1, 1);
	EXPECT_GE(refused->status, 500u) << refused->body;
	ASSERT_TRUE(fleet_store_fault(fleet, "{\"clear\":1}"));
	EXPECT_TRUE(wait_until([&] { return apply(1, 1)->status == 200; }, 20));
	EXPECT_TRUE(wait_until([&] { return all_have_version(2); }, 9));
}

/*
 * The store links of one control, one of the two watchers, become half-open.
 * Its entry continues to serve because peers are reachable, and receives a
 * change made elsewhere; a change requested from this control is refused.
 */
TEST_F(Control, UnresponsiveStoreLinkBlocksOnlyWritesOfThatControl)
{
	start(4, true, true);
	ASSERT_EQ(apply(1, 0)->status, 200u);
	fleet_run_main_loop_ms(2000);
	std::string port = strrchr(member_at(0)->store_url, ':') + 1;
	std::string half_open_fault =
		"{\"port\":" + port + ",\"silence\":\"both\"}";
	std::string clear_fault =
		"{\"port\":" + port + ",\"clear\":1,\"cut\":1}";

	ASSERT_TRUE(fleet_proxy_fault(fleet, half_open_fault.c_str()));
	fleet_run_main_loop_ms(4000);
	EXPECT_TRUE(entries[0]->serve);
	auto out = post(1, "/v1/zones/z1/out", "{}");
	ASSERT_TRUE(wait_until([&] { return out->done; }, 12));
	EXPECT_EQ(out->status, 200u) << out->body;
	EXPECT_NE(out->body.find("\"everywhere\":true"), std::string::npos)
		<< out->body;
	auto refused = post(0, "/v1/zones/z1/in", "{}");
	ASSERT_TRUE(wait_until([&] { return refused->done; }, 14));
	EXPECT_GE(refused->status, 500u) << refused->body;
	ASSERT_TRUE(fleet_proxy_fault(fleet, clear_fault.c_str()));
	EXPECT_TRUE(wait_until(
		[&] {
			auto in = post(0, "/v1/zones/z1/in", "{}");

			return wait_until([&] { return in->done; }, 12) &&
			       in->status == 200;
		},
		25));
}

/* Both controls that watch the store are killed before a change. */
TEST_F(Control, OtherControlsTakeOverWhenStoreWatchersDie)
{
	start(6, false);
	ASSERT_EQ(apply(5, 0)->status, 200u);
	fleet_signal(member_at(0), FLEET_CONTROL, SIGKILL);
	fleet_signal(member_at(1), FLEET_CONTROL, SIGKILL);
	ASSERT_TRUE(wait_until([&] { return count_live(5) == 4; }, 8));
	EXPECT_EQ(apply(4, 1)->status, 200u);
	EXPECT_TRUE(wait_until([&] { return all_have_version(2, 2); }, 9));
}

/*
 * A zone is taken out, then all controls are replaced while the store returns
 * stale reads. If a control adopted the old object, the zone would receive
 * requests again.
 */
TEST_F(Control, StaleReadAfterRestartNeverRevertsConfig)
{
	start(4, false);
	ASSERT_EQ(apply(0, 0)->status, 200u);
	auto out = post(0, "/v1/zones/z1/out", "{}");
	ASSERT_TRUE(wait_until([&] { return out->done; }, 12));
	ASSERT_EQ(out->status, 200u) << out->body;
	ASSERT_TRUE(wait_until([&] { return all_have_version(2); }, 9));
	ASSERT_TRUE(fleet_store_fault(fleet, "{\"stale\":1}"));
	for (guint i = 0; i < 4; i++) {
		fleet_signal(member_at(i), FLEET_CONTROL, SIGKILL);
		ASSERT_TRUE(fleet_start_control(fleet, member_at(i), nullptr));
		ASSERT_TRUE(wait_until(
			[&] { return status_number(i, "config_version") > 0; },
			9));
		EXPECT_EQ(status_number(i, "config_version"), 2) << i;
		fleet_run_main_loop_ms(500);
	}
	EXPECT_TRUE(all_have_version(2));
}

/*
 * Of two operators who edit the same version concurrently, one gets a conflict.
 */
TEST_F(Control, ConcurrentEditsOfOneVersionConflict)
{
	start(4, false);
	ASSERT_EQ(apply(0, 0)->status, 200u);
	auto one = post(1, "/v1/config/apply", apply_body(1));
	auto two = post(2, "/v1/config/apply", apply_body(1));
	ASSERT_TRUE(wait_until([&] { return one->done && two->done; }, 14));
	EXPECT_EQ(MIN(one->status, two->status), 200u);
	EXPECT_EQ(MAX(one->status, two->status), 409u);
	const std::string &conflict =
		one->status == 409 ? one->body : two->body;
	EXPECT_NE(conflict.find("\"base_config\":{"), std::string::npos)
		<< conflict;
	EXPECT_NE(conflict.find("\"current_config\":{"), std::string::npos);
	/* Taking out a zone is rebased automatically and never conflicts. */
	auto three = post(1, "/v1/zones/z1/out", "{}");
	auto four = post(2, "/v1/zones/z2/out", "{}");
	ASSERT_TRUE(wait_until([&] { return three->done && four->done; }, 14));
	EXPECT_EQ(three->status, 200u) << three->body;
	EXPECT_EQ(four->status, 200u) << four->body;
}

/*
 * The store executes the write but its answer is lost: the operator still
 * learns that the change was accepted.
 */
TEST_F(Control, ReportsAcceptanceWhenStoreAnswerIsLost)
{
	start(3, false);
	ASSERT_EQ(apply(0, 0)->status, 200u);
	ASSERT_TRUE(fleet_store_fault(fleet, "{\"lose_answers\":1}"));
	auto call = apply(0, 1);
	EXPECT_EQ(call->status, 200u) << call->body;
	EXPECT_TRUE(wait_until([&] { return all_have_version(2); }, 9));
	EXPECT_EQ(status_number(0, "config_version"), 2);
}

/*
 * A control is paused for six seconds while a zone is taken out. When it
 * resumes, its sockets contain old gossip and an old answer of the store. A
 * serving lease for the old version would send requests to the zone after the
 * operator was told that it is out.
 */
TEST_F(Control, ResumedControlGrantsNoLeaseForAnOldVersion)
{
	start(5, true);
	ASSERT_EQ(apply(1, 0)->status, 200u);
	for (guint paused_index : { 0u, 4u }) {
		guint64 version = (guint64)status_number(2, "config_version");

		fleet_signal(member_at(paused_index), FLEET_CONTROL, SIGSTOP);
		fleet_run_main_loop_ms(1000);
		auto out = post(2,
				version == 1 ? "/v1/zones/z1/out" :
					       "/v1/zones/z1/in",
				"{}");
		ASSERT_TRUE(wait_until([&] { return out->done; }, 14));
		EXPECT_EQ(out->status, 200u) << out->body;
		fleet_run_main_loop_ms(3000);
		guint64 newer = (guint64)status_number(2, "config_version");
		EXPECT_GT(newer, version);
		entries[paused_index]->min_serving_version = newer;
		fleet_signal(member_at(paused_index), FLEET_CONTROL, SIGCONT);
		EXPECT_TRUE(wait_until(
			[&] {
				return entries[paused_index]->serve &&
				       entries[paused_index]->config_version ==
					       newer;
			},
			8));
	}
}

/*
 * An entry stops acknowledging views while its control lives. Its services
 * would stall, so ownership moves before the three seconds have passed after
 * which a member counts as dead.
 */
TEST_F(Control, ReassignsServicesOfAnUnresponsiveEntry)
{
	start(4, true);
	ASSERT_EQ(apply(0, 0)->status, 200u);
	ASSERT_TRUE(
		wait_until([&] { return entries[0]->owners.size() == 3; }, 8));
	guint owner = 0;
	while (owner < 4 && !entries[0]->owns(member_at(owner)->name))
		owner++;
	ASSERT_LT(owner, 4u);
	guint other = (owner + 1) % 4;
	std::string name = member_at(owner)->name;
	gint64 started_us = g_get_monotonic_time();

	entries[owner]->paused = true;
	EXPECT_TRUE(wait_until([&] { return !entries[other]->owns(name); }, 8));
	printf("moved after %.1f s\n",
	       (double)(g_get_monotonic_time() - started_us) / 1e6);
}

/*
 * During a planned stop of a VM the entry transfers its keys to a successor and
 * exits, followed by its control. Later repeats of requests must find the
 * successor through every other control.
 */
TEST_F(Control, PlannedStopPublishesSuccessorEverywhere)
{
	start(4, true);
	ASSERT_EQ(apply(0, 0)->status, 200u);
	ASSERT_TRUE(
		wait_until([&] { return entries[0]->owners.size() == 3; }, 8));
	fleet_signal(member_at(3), FLEET_CONTROL, SIGTERM);
	entries[3]->stopping = true;
	entries[3]->acknowledge();
	EXPECT_TRUE(wait_until(
		[&] { return !entries[0]->owns(member_at(3)->name); }, 8));
	entries[3]->successor = 1001;
	entries[3]->acknowledge();
	fleet_run_main_loop_ms(200);
	entries[3].reset();
	EXPECT_TRUE(fleet_stop(member_at(3), FLEET_CONTROL, 8000));
	for (int i = 0; i < 3; i++)
		EXPECT_TRUE(wait_until(
			[&] {
				for (auto &it : entries[i]->successors)
					if (it.first == 1003 &&
					    it.second == 1001)
						return true;
				return false;
			},
			4))
			<< i;
}
