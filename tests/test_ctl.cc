/*
 * Tests of auburnstilectl against real controls and entries and a stand-in
 * store: its output and its exit codes.
 */
#include <gtest/gtest.h>

#include <auburnstile/error.h>

#include <fleet/fleet.h>
#include <fleet/fleet_inventory.h>

#include <gio/gio.h>
#include <glib/gstdio.h>
#include <sys/wait.h>
#include <signal.h>

#include <cstring>
#include <string>
#include <thread>
#include <vector>

#define READY_TIMEOUT_MS 30000

struct outcome {
	int code;
	std::string out;
	std::string err;
};

static bool contains(const std::string &text, const std::string &part)
{
	return text.find(part) != std::string::npos;
}

class Ctl : public testing::Test
{
      protected:
	void SetUp() override
	{
		struct fleet_service service = {};
		struct fleet_options options = {};
		GError *error = nullptr;

		service.name = "calendar";
		service.path = "/calendar";
		service.upstreams = 3;
		service.at_most_once = true;
		inventory = fleet_inventory_text(&service, 1, 3);
		options.inventory = inventory;
		options.members = 3;
		options.seed = 1;
		options.mean_us = 2000;
		fleet = fleet_new(&options, &error);
		ASSERT_NE(fleet, nullptr) << error->message;
		ASSERT_TRUE(fleet_start(fleet, &error)) << error->message;
		file = std::string(fleet->folder) + "/edit.toml";
	}

	void TearDown() override
	{
		g_unlink(file.c_str());
		fleet_free(fleet, false);
		g_free(inventory);
	}

	/* Runs auburnstilectl; `controls` defaults to those of all members. */
	outcome ctl(std::vector<std::string> arguments,
		    std::vector<std::string> controls = {})
	{
		char *program = child_program_path("auburnstilectl");
		std::vector<std::string> all = { program,
						 std::string("--token-file=") +
							 fleet->token_file };
		outcome result = { -1, "", "" };
		char *out = nullptr;
		char *err = nullptr;
		int status = 0;

		for (guint i = 0; controls.empty() && i < 3; i++)
			all.push_back(std::string("--control=") +
				      fleet_member(fleet, i)->control_admin);
		for (const std::string &control : controls)
			all.push_back("--control=" + control);
		all.insert(all.end(), arguments.begin(), arguments.end());
		std::vector<char *> argv;

		for (std::string &argument : all)
			argv.push_back(argument.data());
		argv.push_back(nullptr);
		if (g_spawn_sync(nullptr, argv.data(), nullptr, G_SPAWN_DEFAULT,
				 nullptr, nullptr, &out, &err, &status,
				 nullptr))
			result = { WEXITSTATUS(status), out, err };
		g_free(out);
		g_free(err);
		g_free(program);
		return result;
	}

	/* Retries until accepted: controls must have discovered each other. */
	outcome ctl_accepted(std::vector<std::string> arguments)
	{
		outcome result = { -1, "", "" };

		for (int i = 0; i < 100; i++) {
			result = ctl(arguments);
			if (result.code == 0)
				break;
			g_usleep(200000);
		}
		return result;
	}

	void write_file(const std::string &text)
	{
		ASSERT_TRUE(g_file_set_contents(file.c_str(), text.c_str(), -1,
						nullptr));
	}

	void apply_inventory()
	{
		write_file(inventory);
		outcome result = ctl_accepted({ "apply", file });

		ASSERT_EQ(result.code, 0) << result.out << result.err;
		EXPECT_TRUE(contains(result.out, "accepted: version "));
	}

	static std::string edited(const std::string &text,
				  const std::string &from,
				  const std::string &to)
	{
		std::string result = text;
		size_t at = result.find(from);

		EXPECT_NE(at, std::string::npos) << text;
		return result.replace(at, from.size(), to);
	}

	struct fleet *fleet = nullptr;
	char *inventory = nullptr;
	std::string file;
};

TEST_F(Ctl, AppliesShowsAndRejectsInventoriesWithLineNumbers)
{
	apply_inventory();
	outcome shown = ctl({ "show" });

	EXPECT_EQ(shown.code, 0);
	EXPECT_EQ(shown.out.substr(0, 10), "version = ");
	EXPECT_TRUE(contains(shown.out, inventory));
	write_file(shown.out);
	EXPECT_EQ(ctl({ "diff", file }).code, 0);
	write_file(edited(shown.out, "\"/calendar\"", "\"calendar\""));
	outcome invalid = ctl({ "apply", file });

	EXPECT_EQ(invalid.code, 1);
	EXPECT_TRUE(contains(invalid.err, "(rule path)")) << invalid.err;
	EXPECT_TRUE(contains(invalid.err, file + ":")) << invalid.err;
	EXPECT_TRUE(contains(ctl({ "check", "--json", file }).out,
			     "{\"valid\":false,\"problems\":[\"" + file + ":"));
	EXPECT_EQ(ctl({ "zone", "out", "nowhere" }).code, 1);
	EXPECT_EQ(ctl({ "zone", "away", "z1" }).code, 2);
	EXPECT_EQ(ctl({ "explain", "xyz" }).code, 2);
	EXPECT_EQ(ctl({ "explain", "1" }).code, 1);
	EXPECT_EQ(ctl({ "status" }, { "127.0.0.1:1" }).code, 5);
}

TEST_F(Ctl, TakesVmsAndUpstreamsOutAndBack)
{
	apply_inventory();
	EXPECT_EQ(ctl({ "vm", "leave", "vm-1" }).code, 0);
	EXPECT_EQ(ctl({ "upstream", "leave", "calendar-2" }).code, 0);
	std::string status = ctl({ "status" }).out;

	EXPECT_TRUE(contains(status, "vm vm-1 is leaving")) << status;
	EXPECT_TRUE(contains(status, "upstream calendar-2 is leaving"))
		<< status;
	EXPECT_EQ(ctl({ "vm", "return", "vm-1" }).code, 0);
	EXPECT_EQ(ctl({ "upstream", "return", "calendar-2" }).code, 0);
	EXPECT_FALSE(contains(ctl({ "status" }).out, "is leaving"));
	EXPECT_EQ(ctl({ "upstream", "leave", "calendar-9" }).code, 1);
}

/*
 * Two operators start from the same version. The first takes a zone out, the
 * second applies a file edited earlier, in which the zone is in. If that
 * overwrote the first change, requests would be sent to the zone. The second
 * operator must get a conflict that shows both edits.
 */
TEST_F(Ctl, RejectsEditOfOlderVersionAsConflict)
{
	apply_inventory();
	std::string old = ctl({ "show" }).out;
	outcome out = ctl({ "zone", "out", "z1" });

	EXPECT_EQ(out.code, 0) << out.out << out.err;
	write_file(edited(old, "queue_limit = 200", "queue_limit = 4321"));
	outcome conflict = ctl({ "apply", file });

	EXPECT_EQ(conflict.code, 3) << conflict.out << conflict.err;
	EXPECT_TRUE(contains(conflict.out, "zone z1: state in -> out"))
		<< conflict.out;
	EXPECT_TRUE(contains(conflict.out, "-> 4321")) << conflict.out;
	write_file(edited(ctl({ "show" }).out, "queue_limit = 200",
			  "queue_limit = 4321"));
	EXPECT_EQ(ctl({ "diff", file }).code, 7);
	EXPECT_EQ(ctl({ "apply", file }).code, 0);
	EXPECT_EQ(ctl({ "zone", "in", "z1" }).code, 0);
}

/*
 * The connection to a control is closed before its response arrives. If the
 * operator had to repeat the change, it would conflict with its own first
 * attempt. The command resends it with the same id to the next control, which
 * reports that it was accepted. Without another control, the outcome is
 * unknown.
 */
TEST_F(Ctl, ResolvesLostResponseThroughNextControl)
{
	std::string port = std::to_string(child_pick_free_port());
	std::string listen = "127.0.0.1:" + port;
	std::string route = "--route=" + listen + "=" +
			    fleet_member(fleet, 0)->control_admin;
	const char *arguments[] = { route.c_str(), nullptr };
	std::string second = fleet_member(fleet, 1)->control_admin;
	GError *error = nullptr;
	guint status = 0;

	apply_inventory();
	struct child *proxy =
		child_start("fault-proxy", arguments, true, nullptr, &error);
	ASSERT_NE(proxy, nullptr) << error->message;
	std::string fault = "http://" + std::string(proxy->address) + "/fault";

	g_free(child_http("POST", fault.c_str(), nullptr,
			  "{\"truncate_down\":0}", 5000, &status, nullptr));
	ASSERT_EQ(status, 200u);
	write_file(edited(ctl({ "show" }).out, "queue_limit = 200",
			  "queue_limit = 4321"));
	outcome applied = ctl({ "apply", file }, { listen, second });

	EXPECT_EQ(applied.code, 0) << applied.out << applied.err;
	EXPECT_TRUE(contains(ctl({ "show" }).out, "queue_limit = 4321"));
	outcome unknown = ctl({ "zone", "out", "z2" }, { listen });

	EXPECT_EQ(unknown.code, 6) << unknown.out << unknown.err;
	EXPECT_TRUE(contains(unknown.err, "before you repeat it"));
	child_free(proxy);
}

/*
 * The processes of a member are paused, so that its entry doesn't receive the
 * change. The change must not be reported as active everywhere while that entry
 * may still be serving. The member is listed as behind (exit code 4) or, once
 * its permission to serve has expired, as dead.
 */
TEST_F(Ctl, ListsMemberThatIsBehind)
{
	apply_inventory();
	fleet_signal(fleet_member(fleet, 2), FLEET_BOTH, SIGSTOP);
	outcome out = ctl({ "zone", "out", "z1" },
			  { fleet_member(fleet, 0)->control_admin });

	EXPECT_TRUE(out.code == 4 || out.code == 0) << out.out << out.err;
	EXPECT_TRUE(contains(out.out,
			     std::string(fleet_member(fleet, 2)->name) + ": "))
		<< out.out;
	fleet_signal(fleet_member(fleet, 2), FLEET_BOTH, SIGCONT);
}

/*
 * The store applies a write, but its response to the control is lost. The
 * control must find its own write and report the change as accepted.
 */
TEST_F(Ctl, AcceptsChangeWhenStoreResponseIsLost)
{
	apply_inventory();
	write_file(edited(ctl({ "show" }).out, "queue_limit = 200",
			  "queue_limit = 4321"));
	ASSERT_TRUE(fleet_store_fault(fleet, "{\"lose_answers\":1}"));
	outcome applied = ctl({ "apply", file });

	EXPECT_EQ(applied.code, 0) << applied.out << applied.err;
	EXPECT_TRUE(contains(ctl({ "show" }).out, "queue_limit = 4321"));
}

/*
 * The store is down (refusing connections, then unresponsive) when a zone is
 * taken out. The write was sent, so its outcome must be reported as unknown. No
 * control may treat it as accepted meanwhile, and repeating the command after
 * the store has recovered must succeed.
 */
TEST_F(Ctl, ReportsUnknownOutcomeAndAppliesNothingWhileStoreIsDown)
{
	const char *first = fleet_member(fleet, 0)->control_admin;

	apply_inventory();
	std::string before = ctl({ "show" }).out;

	for (const char *fault :
	     { "{\"down\":\"refuse\"}", "{\"down\":\"hang\"}" }) {
		ASSERT_TRUE(fleet_store_fault(fleet, fault));
		outcome out = ctl({ "zone", "out", "z1" }, { first });

		EXPECT_EQ(out.code, 6) << out.out << out.err;
		EXPECT_TRUE(contains(out.err, "before you repeat this"))
			<< out.err;
		for (guint i = 0; i < 3; i++) {
			std::string control =
				fleet_member(fleet, i)->control_admin;

			EXPECT_EQ(ctl({ "show" }, { control }).out, before);
			EXPECT_FALSE(
				contains(ctl({ "status" }, { control }).out,
					 "out\n"));
		}
	}
	ASSERT_TRUE(fleet_store_fault(fleet, "{\"clear\":1}"));
	EXPECT_EQ(ctl_accepted({ "zone", "out", "z1" }).code, 0);
	EXPECT_TRUE(contains(ctl({ "status" }).out, "out\n"));
}

/*
 * Two operators apply files based on the same version at the same time, through
 * different controls. Exactly one must be accepted; the other must get a
 * conflict.
 */
TEST_F(Ctl, AcceptsExactlyOneOfTwoConcurrentEdits)
{
	apply_inventory();
	for (int round = 0; round < 4; round++) {
		std::string old = ctl({ "show" }).out;
		std::string files[2] = { file, file + "2" };
		outcome results[2];
		std::vector<std::thread> operators;
		std::string previous_limit =
			old.substr(old.find("queue_limit = "));

		previous_limit =
			previous_limit.substr(0, previous_limit.find('\n'));
		for (int i = 0; i < 2; i++) {
			std::string text =
				edited(old, previous_limit,
				       "queue_limit = " +
					       std::to_string(1000 +
							      10 * round + i));

			g_file_set_contents(files[i].c_str(), text.c_str(), -1,
					    nullptr);
		}
		for (int i = 0; i < 2; i++)
			operators.emplace_back([&, i] {
				results[i] = ctl({ "apply", files[i] },
						 { fleet_member(fleet, (guint)i)
							   ->control_admin });
			});
		for (std::thread &operator_thread : operators)
			operator_thread.join();
		g_unlink(files[1].c_str());
		int winner = results[0].code == 0 ? 0 : 1;

		EXPECT_EQ(results[winner].code, 0)
			<< results[winner].out << results[winner].err;
		EXPECT_EQ(results[1 - winner].code, 3)
			<< results[1 - winner].out << results[1 - winner].err;
		EXPECT_TRUE(contains(ctl({ "show" }).out,
				     "queue_limit = " +
					     std::to_string(1000 + 10 * round +
							    winner)));
	}
}

/*
 * A control is paused while it has a "zone out" request pending. The command
 * times out and the next control accepts the change; later the zone is brought
 * back in. When the first control resumes, it must not apply the old request:
 * that would take the zone out again.
 */
TEST_F(Ctl, DiscardsStaleCommandWhenPausedControlResumes)
{
	std::string paused = fleet_member(fleet, 0)->control_admin;
	std::string running = fleet_member(fleet, 1)->control_admin;

	apply_inventory();
	fleet_signal(fleet_member(fleet, 0), FLEET_CONTROL, SIGSTOP);
	outcome out = ctl({ "--timeout", "4000", "zone", "out", "z2" },
			  { paused, running });
	EXPECT_TRUE(out.code == 0 || out.code == 4 || out.code == 6)
		<< out.out << out.err;
	outcome status = ctl({ "status" }, { running });
	EXPECT_TRUE(contains(status.out, "out\n")) << status.out;
	outcome in = ctl({ "zone", "in", "z2" }, { running });
	EXPECT_TRUE(in.code == 0 || in.code == 4) << in.out << in.err;
	std::string before = ctl({ "show" }, { running }).out;
	fleet_signal(fleet_member(fleet, 0), FLEET_CONTROL, SIGCONT);
	g_usleep(3000000);
	EXPECT_EQ(ctl({ "show" }, { running }).out, before);
	EXPECT_EQ(ctl({ "show" }, { paused }).out, before);
	EXPECT_FALSE(contains(ctl({ "status" }, { paused }).out, "out\n"));
}

TEST_F(Ctl, WatchPrintsChangesAsTheyOccur)
{
	char *program = child_program_path("auburnstilectl");
	std::string control = std::string("--control=") +
			      fleet_member(fleet, 0)->control_admin;
	std::string token = std::string("--token-file=") + fleet->token_file;
	GSubprocess *watch = nullptr;
	std::string output;

	apply_inventory();
	watch = g_subprocess_new(G_SUBPROCESS_FLAGS_STDOUT_PIPE, nullptr,
				 program, control.c_str(), token.c_str(),
				 "watch", nullptr);
	ASSERT_NE(watch, nullptr);
	GDataInputStream *lines =
		g_data_input_stream_new(g_subprocess_get_stdout_pipe(watch));
	bool changed = false;

	while (!contains(output, "zone z3: state in -> out")) {
		char *line = g_data_input_stream_read_line(lines, nullptr,
							   nullptr, nullptr);

		ASSERT_NE(line, nullptr) << output;
		output += std::string(line) + "\n";
		g_free(line);
		if (!changed && contains(output, "service calendar: owner ")) {
			changed = true;
			EXPECT_EQ(ctl({ "zone", "out", "z3" }).code, 0);
		}
	}
	g_subprocess_force_exit(watch);
	g_subprocess_wait(watch, nullptr, nullptr);
	g_object_unref(lines);
	g_object_unref(watch);
	g_free(program);
}

TEST_F(Ctl, ExplainsRequestAndPrintsTimeline)
{
	const char *address = fleet_member(fleet, 0)->callers;
	std::string url = std::string("http://") + address + "/calendar/x";
	GError *error = nullptr;
	guint status = 0;

	apply_inventory();
	ASSERT_TRUE(fleet_wait_ready(fleet, READY_TIMEOUT_MS, &error))
		<< error->message;
	for (int i = 0; i < 50 && status != 200; i++) {
		g_free(child_http("GET", url.c_str(), nullptr, nullptr, 5000,
				  &status, nullptr));
		g_usleep(100000);
	}
	ASSERT_EQ(status, 200u);
	outcome line = ctl({ "timeline" });

	EXPECT_EQ(line.code, 0) << line.err;
	size_t at = line.out.rfind("finished");
	ASSERT_NE(at, std::string::npos) << line.out;
	std::string id = line.out.substr(
		line.out.find_first_of("0123456789abcdef", at + 12), 16);
	outcome trace = ctl({ "explain", id });

	EXPECT_EQ(trace.code, 0) << trace.err;
	EXPECT_TRUE(contains(trace.out, "goes to upstream calendar-"))
		<< trace.out;
	EXPECT_TRUE(contains(trace.out, "outcome: run.")) << trace.out;
	outcome svg = ctl({ "timeline", "-f", "svg" });

	EXPECT_TRUE(contains(svg.out, "</svg>"));
	outcome json = ctl({ "timeline", "--json", "--request", id });

	EXPECT_TRUE(contains(json.out, "\"type\":\"dispatched\"")) << json.out;
}
