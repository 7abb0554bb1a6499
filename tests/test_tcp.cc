/* The options of TCP connections, and the faults that they detect. */
#include <auburnstile/internal/tcp.h>

#include <gtest/gtest.h>

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <vector>

/* A reader may stop for so long, and a route's timeout is longer. */
#define READER_PAUSE_S 5

class TcpTest : public ::testing::Test
{
      protected:
	int listener = -1;
	int connected = -1;
	int accepted = -1;

	void SetUp() override
	{
		char *address = NULL;

		listener = aub_tcp_listen_loopback(&address);
		connected = aub_tcp_connect(address, NULL);
		g_free(address);
		ASSERT_TRUE(wait_for(connected, POLLOUT));
		accepted = aub_tcp_accept(listener);
		ASSERT_GE(accepted, 0);
	}
	void TearDown() override
	{
		close(connected);
		close(accepted);
		close(listener);
	}
	static bool wait_for(int fd, short events, int ms = 1000)
	{
		struct pollfd poll_fd = { .fd = fd, .events = events };

		return poll(&poll_fd, 1, ms) > 0 && (poll_fd.revents & events);
	}
	static int option(int fd, int name)
	{
		int value = 0;
		socklen_t length = sizeof(value);

		getsockopt(fd, IPPROTO_TCP, name, &value, &length);
		return value;
	}
	/* Time until an idle connection to a silent peer ends. */
	static int idle_limit_ms(int fd)
	{
		return 1000 *
		       (option(fd, TCP_KEEPIDLE) +
			option(fd, TCP_KEEPINTVL) * option(fd, TCP_KEEPCNT));
	}
	/* Writes until the peer's window is full. Returns the bytes. */
	static size_t fill(int fd)
	{
		std::vector<char> data(65536, 'x');
		size_t sent = 0;
		ssize_t written;

		while ((written = send(fd, data.data(), data.size(),
				       MSG_NOSIGNAL)) > 0)
			sent += (size_t)written;
		return sent;
	}
	static size_t read_all(int fd, size_t expected)
	{
		std::vector<char> data(65536);
		size_t received = 0;
		ssize_t length = 1;

		while (received < expected && length > 0) {
			if (!wait_for(fd, POLLIN))
				break;
			length = recv(fd, data.data(), data.size(), 0);
			received += length > 0 ? (size_t)length : 0;
		}
		return received;
	}
	/* The reader stops, with a full window, and then reads on. */
	static void expect_survives_pause(int writer, int reader)
	{
		size_t sent = fill(writer);
		int error = 0;
		socklen_t length = sizeof(error);

		sleep(READER_PAUSE_S);
		getsockopt(writer, SOL_SOCKET, SO_ERROR, &error, &length);
		EXPECT_EQ(error, 0);
		EXPECT_EQ(read_all(reader, sent), sent);
	}
};

/*
 * Guards against connections that end at the first lost keep-alive probe: a
 * user timeout below the time that the probes take overrides their number.
 */
TEST_F(TcpTest, ToleratesLossOfOneKeepAliveProbe)
{
	for (int fd : { connected, accepted }) {
		int user_timeout_ms = option(fd, TCP_USER_TIMEOUT);

		EXPECT_GE(option(fd, TCP_KEEPCNT), 2);
		EXPECT_TRUE(!user_timeout_ms ||
			    user_timeout_ms >= idle_limit_ms(fd))
			<< user_timeout_ms << " " << idle_limit_ms(fd);
	}
}

/* Guards against pooled connections to a peer that is gone. */
TEST_F(TcpTest, DetectsSilentPeerInSeconds)
{
	EXPECT_LE(idle_limit_ms(connected), 4000);
	EXPECT_LE(idle_limit_ms(accepted), 4000);
	EXPECT_GT(option(connected, TCP_USER_TIMEOUT), 0);
	EXPECT_LE(option(connected, TCP_USER_TIMEOUT), 4000);
}

/* Guards against answers that are cut off because their caller reads slowly. */
TEST_F(TcpTest, KeepsConnectionWhileAcceptedPeerDoesNotRead)
{
	expect_survives_pause(accepted, connected);
}

/* Guards against uploads that are cut off because their upstream pauses. */
TEST_F(TcpTest, KeepsPatientConnectionWhilePeerDoesNotRead)
{
	aub_tcp_set_patient(connected, true);
	expect_survives_pause(connected, accepted);
	aub_tcp_set_patient(connected, false);
	EXPECT_GT(option(connected, TCP_USER_TIMEOUT), 0);
}
