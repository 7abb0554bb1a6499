/* Sockets with the options common to all of the project's connections. */
#include <auburnstile/error.h>
#include <auburnstile/internal/problems.h>
#include <auburnstile/internal/tcp.h>

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* If the queue is full, callers are delayed by seconds: the SYN is resent. */
#define LISTEN_BACKLOG 512

/*
 * If a network path fails or a peer loses power, idle connections end by
 * keep-alive probes, of which one may be lost.
 */
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES_MAX 2

/*
 * Requests on a pooled connection would wait until their deadline for the same
 * fault, so a connection also ends if its data is not acknowledged in this
 * time. Any shorter time would override the number of keep-alive probes.
 */
#define USER_TIMEOUT_MS \
	(1000u *        \
	 (KEEPALIVE_IDLE_S + KEEPALIVE_INTERVAL_S * KEEPALIVE_PROBES_MAX))

bool aub_socket_address_parse(const char *address,
			      struct sockaddr_in *socket_address)
{
	char *host = NULL;
	guint16 port;
	bool valid;

	if (!aub_address_parse(address, &host, &port))
		return false;
	memset(socket_address, 0, sizeof(*socket_address));
	socket_address->sin_family = AF_INET;
	socket_address->sin_port = htons(port);
	valid = inet_pton(AF_INET, host, &socket_address->sin_addr) == 1;
	g_free(host);
	return valid;
}

static void set_options(int fd)
{
	const int on = 1;
	const int idle_s = KEEPALIVE_IDLE_S;
	const int interval_s = KEEPALIVE_INTERVAL_S;
	const int probes_max = KEEPALIVE_PROBES_MAX;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s,
		   sizeof(interval_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes_max,
		   sizeof(probes_max));
}

void aub_tcp_set_patient(int fd, bool patient)
{
	const unsigned int user_timeout_ms = patient ? 0 : USER_TIMEOUT_MS;

	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms,
		   sizeof(user_timeout_ms));
}

static int fail_with_errno(int fd, const char *step, const char *address,
			   GError **error)
{
	aub_error_set(error, AUB_ERROR_CLOSED, step, address, "%s",
		      g_strerror(errno));
	if (fd >= 0)
		close(fd);
	return -1;
}

static int bind_socket(const char *address, int type, const char *step,
		       GError **error)
{
	const int on = 1;
	struct sockaddr_in socket_address;
	int fd;

	if (!aub_socket_address_parse(address, &socket_address)) {
		aub_error_set(error, AUB_ERROR_INVALID, step, address,
			      "not an ip:port address");
		return -1;
	}
	fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return fail_with_errno(fd, step, address, error);
	/*
	 * SO_REUSEADDR on UDP sockets would let two processes bind the same
	 * address, and one of them would receive no datagrams, without an
	 * error. Only TCP listeners, whose old connections remain in
	 * TIME_WAIT, need to reuse an address.
	 */
	if (type == SOCK_STREAM)
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&socket_address,
		 sizeof(socket_address)) < 0)
		return fail_with_errno(fd, step, address, error);
	return fd;
}

int aub_tcp_listen(const char *address, GError **error)
{
	int fd = bind_socket(address, SOCK_STREAM, "listen", error);

	if (fd >= 0 && listen(fd, LISTEN_BACKLOG) < 0)
		return fail_with_errno(fd, "listen", address, error);
	return fd;
}

int aub_udp_bind(const char *address, GError **error)
{
	return bind_socket(address, SOCK_DGRAM, "bind", error);
}

/*
 * The port is chosen when the socket connects: a port that bind() chooses can't
 * be shared by connections to different peers.
 */
static bool bind_source(int fd, const char *source)
{
	const int on = 1;
	struct sockaddr_in socket_address = { .sin_family = AF_INET };

	setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof(on));
	return inet_pton(AF_INET, source, &socket_address.sin_addr) == 1 &&
	       !bind(fd, (struct sockaddr *)&socket_address,
		     sizeof(socket_address));
}

int aub_tcp_connect(const char *address, GError **error)
{
	return aub_tcp_connect_from(NULL, address, error);
}

int aub_tcp_connect_from(const char *source, const char *address,
			 GError **error)
{
	struct sockaddr_in socket_address;
	int fd;

	if (!aub_socket_address_parse(address, &socket_address)) {
		aub_error_set(error, AUB_ERROR_INVALID, "connect", address,
			      "not an ip:port address");
		return -1;
	}
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return fail_with_errno(fd, "connect", address, error);
	set_options(fd);
	aub_tcp_set_patient(fd, false);
	if (source && !bind_source(fd, source))
		return fail_with_errno(fd, "bind", source, error);
	if (connect(fd, (struct sockaddr *)&socket_address,
		    sizeof(socket_address)) < 0 &&
	    errno != EINPROGRESS)
		return fail_with_errno(fd, "connect", address, error);
	return fd;
}

/*
 * Accepted connections have no user timeout: it would also end one whose peer
 * is slow to read. Requests have deadlines, and idle connections are limited.
 */
int aub_tcp_accept(int listener)
{
	int fd = accept4(listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

	if (fd >= 0)
		set_options(fd);
	return fd;
}

int aub_tcp_listen_loopback(char **address)
{
	struct sockaddr_in bound_to = { 0 };
	socklen_t length = sizeof(bound_to);
	int fd = aub_tcp_listen("127.0.0.1:0", NULL);

	if (fd < 0)
		return -1;
	getsockname(fd, (struct sockaddr *)&bound_to, &length);
	*address = g_strdup_printf("127.0.0.1:%u", ntohs(bound_to.sin_port));
	return fd;
}
