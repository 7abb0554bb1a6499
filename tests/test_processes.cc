/*
 * Operational behaviour of the real programs: validation of settings, signals,
 * planned stops, health checks, and access control.
 */
#include <gtest/gtest.h>

#include <auburnstile/error.h>

#include <fleet/fleet.h>
#include <fleet/fleet_inventory.h>

#include <gio/gio.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <sys/wait.h>

#include <string>
#include <vector>

#define READY_TIMEOUT_MS 30000
#define STOP_TIMEOUT_MS 15000 /* longer than the programs' limit of 10 s */

static bool contains(const std::string &text, const std::string &part)
{
	return text.find(part) != std::string::npos;
}

struct program_result {
	int code; /* -1: ended by a signal, or still running after 10 s */
	std::string err;
};

/* Runs a program with settings that it should reject. */
static program_result run_with_settings(const char *program,
					const std::string &settings)
{
	char *folder = g_dir_make_tmp("settings-XXXXXX", nullptr);
	std::string file = std::string(folder) + "/a.toml";
	std::string log = std::string(folder) + "/log";
	const char *arguments[] = { "--settings", file.c_str(), nullptr };
	program_result result = { -1, "" };
	char *err = nullptr;

	g_file_set_contents(file.c_str(), settings.c_str(), -1, nullptr);
	struct child *child =
		child_start(program, arguments, false, log.c_str(), nullptr);

	if (child && child_wait(child, 10000) && WIFEXITED(child->status))
		result.code = WEXITSTATUS(child->status);
	child_free(child);
	if (g_file_get_contents(log.c_str(), &err, nullptr, nullptr))
		result.err = err;
	g_free(err);
	g_unlink(file.c_str());
	g_unlink(log.c_str());
	g_rmdir(folder);
	g_free(folder);
	return result;
}

TEST(Start, ReportsEverySettingsProblem)
{
	for (const char *program :
	     { "auburnstile-entry", "auburnstile-control" }) {
		program_result result =
			run_with_settings(program, "name = \"a\"\n"
						   "zoen = \"z\"\n"
						   "inner = \"localhost:1\"\n"
						   "stop_ms = 5\n"
						   "log_json = 1\n");

		EXPECT_EQ(result.code, 1) << program << result.err;
		for (const char *part :
		     { ":2: zoen: unknown key", ":3: inner: must be an address",
		       ":4: stop_ms: 5 is out of range", ":5: log_json: must",
		       "zone: missing", "admin: missing" })
			EXPECT_TRUE(contains(result.err, part))
				<< program << ": " << part << "\n"
				<< result.err;
	}
}

TEST(Start, ReportsInvalidValuesAndMissingTokenFile)
{
	const std::string common = "name = \"a\"\nzone = \"z\"\n"
				   "inner = \"127.0.0.1:0\"\n"
				   "admin = \"127.0.0.1:0\"\n";
	const std::string entry = common + "callers = \"127.0.0.1:0\"\n"
					   "control = \"127.0.0.1:1\"\n";
	const std::string control = common + "store = \"http://127.0.0.1:1\"\n";

	program_result result =
		run_with_settings("auburnstile-entry",
				  entry + "log_level = \"loud\"\n");
	EXPECT_NE(result.code, 0);
	EXPECT_TRUE(contains(result.err, "log_level")) << result.err;
	result = run_with_settings("auburnstile-entry",
				   entry + "policy = \"magic\"\n");
	EXPECT_NE(result.code, 0);
	EXPECT_TRUE(contains(result.err, "magic")) << result.err;
	for (const auto &[program, text] :
	     { std::pair("auburnstile-entry", entry),
	       std::pair("auburnstile-control", control) }) {
		result = run_with_settings(
			program, text + "token_file = \"/nonexistent/t\"\n");
		EXPECT_NE(result.code, 0) << program;
		EXPECT_TRUE(contains(result.err, "/nonexistent/t"))
			<< result.err;
	}
}

class Processes : public testing::Test
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
		service.deadline_ms = 20000;
		inventory = fleet_inventory_text(&service, 1, 3);
		options.inventory = inventory;
		options.members = 3;
		options.seed = 7;
		options.mean_us = 300000;
		fleet = fleet_new(&options, &error);
		ASSERT_NE(fleet, nullptr) << error->message;
		ASSERT_TRUE(fleet_start(fleet, &error)) << error->message;
		bool applied = false;

		for (int i = 0; i < 100 && !applied; i++) {
			g_clear_error(&error);
			applied = fleet_apply(fleet, fleet_member(fleet, 0),
					      inventory, &error);
			if (!applied)
				fleet_run_main_loop_ms(200);
		}
		ASSERT_TRUE(applied) << error->message;
		ASSERT_TRUE(fleet_wait_ready(fleet, READY_TIMEOUT_MS, &error))
			<< error->message;
		ASSERT_TRUE(serves(fleet_member(fleet, 0)));
	}

	void TearDown() override
	{
		fleet_free(fleet, false);
		g_free(inventory);
	}

	/* Returns true once the entry returns the answer of an upstream. */
	bool serves(struct fleet_member *member)
	{
		std::string url = std::string("http://") + member->callers +
				  "/calendar/x";

		for (int i = 0; i < 100; i++) {
			guint status = 0;

			g_free(child_http("GET", url.c_str(), nullptr, nullptr,
					  30000, &status, nullptr));
			if (status == 200)
				return true;
			g_usleep(100000);
		}
		return false;
	}

	/* Returns the status of a GET, 0 if there was no answer. */
	static guint get(const char *address, const char *path,
			 const char *token, std::string *body = nullptr)
	{
		std::string url = std::string("http://") + address + path;
		guint status = 0;
		char *text = child_http("GET", url.c_str(), token, nullptr,
					10000, &status, nullptr);

		if (body && text)
			*body = text;
		g_free(text);
		return text ? status : 0;
	}

	std::string log(const struct fleet_member *member, const char *part)
	{
		std::string path = std::string(fleet->folder) + "/" +
				   member->name + part + ".log";
		char *text = nullptr;
		std::string result;

		if (g_file_get_contents(path.c_str(), &text, nullptr, nullptr))
			result = text;
		g_free(text);
		return result;
	}

	/* Sends a request without reading its answer. */
	GSocketConnection *send(const char *address, const std::string &text)
	{
		GSocketClient *client = g_socket_client_new();
		GSocketConnection *connection =
			g_socket_client_connect_to_host(client, address, 0,
							nullptr, nullptr);

		g_object_unref(client);
		if (connection)
			g_output_stream_write_all(g_io_stream_get_output_stream(
							  G_IO_STREAM(
								  connection)),
						  text.data(), text.size(),
						  nullptr, nullptr, nullptr);
		return connection;
	}

	static std::string receive(GSocketConnection *connection)
	{
		GInputStream *stream =
			g_io_stream_get_input_stream(G_IO_STREAM(connection));
		std::string result;
		char buffer[4096];
		gssize n;

		while ((n = g_input_stream_read(stream, buffer, sizeof(buffer),
						nullptr, nullptr)) > 0)
			result.append(buffer, (size_t)n);
		g_object_unref(connection);
		return result;
	}

	struct fleet *fleet = nullptr;
	char *inventory = nullptr;
};

TEST_F(Processes, AdminApiRequiresTokenExceptForHealthAndMetrics)
{
	const struct fleet_member *member = fleet_member(fleet, 0);
	std::string body;

	for (const char *address : { member->admin, member->control_admin }) {
		EXPECT_EQ(get(address, "/healthz", nullptr), 200u);
		EXPECT_EQ(get(address, "/readyz", nullptr), 200u);
		EXPECT_EQ(get(address, "/metrics", nullptr, &body), 200u);
		EXPECT_TRUE(contains(body, "auburnstile_")) << body;
		EXPECT_EQ(get(address, "/v1/events", nullptr), 401u);
		EXPECT_EQ(get(address, "/v1/events", "wrong-token"), 401u);
		EXPECT_EQ(get(address, "/v1/events", fleet->token), 200u);
	}
	EXPECT_EQ(get(member->admin, "/v1/dispatch", fleet->token), 200u);
	EXPECT_EQ(get(member->admin, "/v1/dispatch", nullptr), 401u);
	EXPECT_EQ(get(member->control_admin, "/v1/status", nullptr), 401u);
}

TEST_F(Processes, CallersCannotReachTheAdminApi)
{
	const struct fleet_member *member = fleet_member(fleet, 0);

	for (const char *path :
	     { "/v1/events", "/v1/dispatch", "/v1/status", "/metrics",
	       "/healthz", "/.auburnstile/v1/events" })
		EXPECT_NE(get(member->callers, path, fleet->token), 200u)
			<< path;
}

TEST_F(Processes, ResponseHasOneDateHeader)
{
	std::string answer =
		receive(send(fleet_member(fleet, 0)->callers,
			     "GET /calendar/x HTTP/1.1\r\nHost: x\r\n"
			     "Connection: close\r\n\r\n"));
	size_t first = answer.find("\r\nDate: ");

	ASSERT_NE(first, std::string::npos) << answer;
	EXPECT_EQ(answer.find("\r\nDate: ", first + 2), std::string::npos)
		<< answer;
}

TEST_F(Processes, SighupLogsThatARestartIsNeeded)
{
	struct fleet_member *member = fleet_member(fleet, 1);

	fleet_signal(member, FLEET_BOTH, SIGHUP);
	for (int i = 0;
	     i < 100 && (!contains(log(member, "-entry"), "restart") ||
			 !contains(log(member, "-control"), "restart"));
	     i++)
		g_usleep(50000);
	EXPECT_TRUE(contains(log(member, "-entry"), "restart"));
	EXPECT_TRUE(contains(log(member, "-control"), "restart"));
	EXPECT_EQ(get(member->admin, "/healthz", nullptr), 200u);
	EXPECT_EQ(get(member->control_admin, "/healthz", nullptr), 200u);
}

/*
 * A VM is taken out of service while callers wait for their answers. Closing
 * their connections would lose the answers to requests that ran. All requests
 * in flight get complete answers, and the processes exit with status 0 in time.
 */
TEST_F(Processes, PlannedStopAnswersRequestsInFlight)
{
	std::vector<GSocketConnection *> waiting;
	struct fleet_member *member = fleet_member(fleet, 0);

	for (int i = 0; i < 4; i++) {
		GSocketConnection *connection =
			send(member->callers,
			     "GET /calendar/" + std::to_string(i) +
				     " HTTP/1.1\r\nHost: x\r\n"
				     "Connection: close\r\n\r\n");

		ASSERT_NE(connection, nullptr);
		waiting.push_back(connection);
	}
	g_usleep(50000);
	fleet_signal(member, FLEET_ENTRY, SIGTERM);
	for (GSocketConnection *connection : waiting) {
		std::string answer = receive(connection);

		EXPECT_TRUE(contains(answer, " 200 OK")) << answer;
		EXPECT_TRUE(contains(answer, "Auburnstile-Outcome: run"))
			<< answer;
	}
	EXPECT_TRUE(fleet_stop(member, FLEET_BOTH, STOP_TIMEOUT_MS));
	EXPECT_TRUE(contains(log(member, "-entry"), "stopped"));
	EXPECT_TRUE(contains(log(member, "-control"), "stopped"));
	EXPECT_EQ(get(member->admin, "/healthz", nullptr), 0u);
	EXPECT_TRUE(serves(fleet_member(fleet, 1)));
}

TEST_F(Processes, TokenIsNeverLogged)
{
	for (guint i = 0; i < 3; i++) {
		const struct fleet_member *member = fleet_member(fleet, i);

		get(member->admin, "/v1/events", fleet->token);
		get(member->control_admin, "/v1/status", fleet->token);
		EXPECT_FALSE(contains(log(member, "-entry"), fleet->token));
		EXPECT_FALSE(contains(log(member, "-control"), fleet->token));
	}
}

TEST_F(Processes, StartFailsWhenAddressIsInUse)
{
	const struct fleet_member *member = fleet_member(fleet, 0);
	std::string common = std::string("name = \"x\"\nzone = \"z1\"\n") +
			     "inner = \"127.0.0.1:0\"\nadmin = \"" +
			     member->admin + "\"\n";

	for (const auto &[program, text] :
	     { std::pair("auburnstile-entry",
			 common + "callers = \"127.0.0.1:0\"\n"
				  "control = \"127.0.0.1:1\"\n"),
	       std::pair("auburnstile-control",
			 common + "store = \"http://127.0.0.1:1\"\n") }) {
		program_result result = run_with_settings(program, text);

		EXPECT_EQ(result.code, 1) << result.err;
		EXPECT_TRUE(contains(result.err, member->admin)) << result.err;
	}
}
