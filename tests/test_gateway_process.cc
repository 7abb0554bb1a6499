/*
 * The gateway as a separate process: reload of its settings, by file change and
 * by signal, invalid settings, and exit on SIGTERM.
 */
#include "gateway_fixture.h"

#include <common/child.h>

#include <glib/gstdio.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/stat.h>
#include <sys/wait.h>

#define START_TIMEOUT_MS 10000
#define RELOAD_TIMEOUT_MS 3000 /* the file is checked once a second */

class GatewayProcessTest : public GatewayTest
{
      protected:
	char *folder = NULL;
	std::string file;
	std::string log;
	std::string ports[5];
	struct child *child = NULL;

	void SetUp() override
	{
		GatewayTest::SetUp();
		folder = g_dir_make_tmp("gateway-XXXXXX", NULL);
		file = std::string(folder) + "/gateway.toml";
		log = std::string(folder) + "/log";
		for (auto &port : ports)
			port = "127.0.0.1:" +
			       std::to_string(child_pick_free_port());
	}
	void TearDown() override
	{
		child_free(child);
		g_unlink(file.c_str());
		g_unlink(log.c_str());
		g_rmdir(folder);
		g_free(folder);
		GatewayTest::TearDown();
	}
	void write_settings(int address_ms)
	{
		std::string text =
			"name = \"g1\"\nzone = \"z1\"\ncallers = \"" +
			ports[0] + "\"\ndirectory = \"" + ports[1] +
			"\"\nreadiness = \"" + ports[2] + "\"\npeers = \"" +
			ports[3] + "\"\nmetrics = \"" + ports[4] +
			"\"\nstore = \"" + platform_store_address(store) +
			"\"\nseeds = []\ngrace_s = 3\n"
			"retry_slack = 50\nretry_window_s = 10\n"
			"retry_percent = 20\naddress_ms = " +
			std::to_string(address_ms) + "\n";

		ASSERT_TRUE(g_file_set_contents(file.c_str(), text.c_str(), -1,
						NULL));
	}
	void start_process()
	{
		const char *arguments[] = { "--settings", file.c_str(), NULL };

		add_upstream("u1");
		configure();
		write_settings(300);
		child = child_start("auburnstile-gateway", arguments, false,
				    log.c_str(), NULL);
		ASSERT_NE(child, nullptr);
		ASSERT_TRUE(run_until(
			[&] {
				std::string body;

				return http_get(ports[2], "/ready", &body) ==
				       200;
			},
			START_TIMEOUT_MS));
	}
	/* Waits up to `ms` for the address directory to return this TTL. */
	bool returns_ttl(const std::string &ttl, int ms)
	{
		return run_until(
			[&] {
				std::string body;
				/*
				 * Without the first byte, which is the map's
				 * header.
				 */
				std::string field =
					pack_json("{\"ttl_s\":" + ttl + "}")
						.substr(1);

				http_get(ports[1],
					 "/resolve?name=site&region=r&zone=z1",
					 &body);
				return body.find(field) != std::string::npos;
			},
			ms);
	}
};

TEST_F(GatewayProcessTest, ReloadsSettingsOnFileChangeAndOnSighup)
{
	start_process();
	EXPECT_TRUE(returns_ttl("0.300", 1000));
	write_settings(700);
	EXPECT_TRUE(returns_ttl("0.700", RELOAD_TIMEOUT_MS));
	write_settings(900);
	EXPECT_TRUE(child_signal(child, SIGHUP));
	EXPECT_TRUE(returns_ttl("0.900", RELOAD_TIMEOUT_MS));
}

/* Guards against a process that a reload ends while it starts. */
TEST_F(GatewayProcessTest, SurvivesSighupWhileItStarts)
{
	const char *arguments[] = { "--settings", file.c_str(), NULL };

	add_upstream("u1");
	configure();
	write_settings(300);
	/* A FIFO holds the process where it reads its settings. */
	std::string fifo = std::string(folder) + "/fifo";
	ASSERT_EQ(mkfifo(fifo.c_str(), 0600), 0);
	arguments[1] = fifo.c_str();
	child = child_start("auburnstile-gateway", arguments, false,
			    log.c_str(), NULL);
	ASSERT_NE(child, nullptr);
	int fd = open(fifo.c_str(), O_WRONLY);
	ASSERT_GE(fd, 0);
	EXPECT_TRUE(child_signal(child, SIGHUP));
	run_for(100);
	EXPECT_FALSE(child_has_exited(child));
	close(fd);
	g_unlink(fifo.c_str());
}

TEST_F(GatewayProcessTest, ReloadDoesNotInterruptRequests)
{
	/*
	 * A request is at the upstream when the settings file changes, and
	 * again on SIGHUP. The caller must get the complete answer.
	 */
	timeout_ms = 5000;
	start_process();
	platform_upstream_set_service_time(upstreams[0], 1800);
	listen_addresses = { ports[0] };
	auto caller = send_request("GET", "/safe/a", "id1");
	run_for(200);
	write_settings(700);
	run_for(1200);
	EXPECT_TRUE(child_signal(child, SIGHUP));
	ASSERT_TRUE(wait_for_answer(caller));
	EXPECT_EQ(caller->status, 200u);
	EXPECT_TRUE(returns_ttl("0.700", RELOAD_TIMEOUT_MS));
}

TEST_F(GatewayProcessTest, KeepsOldSettingsWhenNewOnesAreInvalid)
{
	/* Callers are still served, and the log names the line and the key. */
	char *text = NULL;

	start_process();
	ASSERT_TRUE(g_file_set_contents(file.c_str(), "zoen = 7\n", -1, NULL));
	EXPECT_TRUE(child_signal(child, SIGHUP));
	run_for(1500);
	EXPECT_FALSE(child_has_exited(child));
	EXPECT_TRUE(returns_ttl("0.300", 1000));
	ASSERT_TRUE(g_file_get_contents(log.c_str(), &text, NULL, NULL));
	EXPECT_NE(strstr(text, ":1: zoen: unknown key"), nullptr) << text;
	g_free(text);
}

TEST_F(GatewayProcessTest, ExitsCleanlyOnSigterm)
{
	start_process();
	EXPECT_TRUE(child_signal(child, SIGTERM));
	EXPECT_TRUE(run_until([&] { return child_has_exited(child); }, 5000));
	EXPECT_TRUE(WIFEXITED(child->status));
	EXPECT_EQ(WEXITSTATUS(child->status), 0);
}
