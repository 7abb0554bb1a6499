/*
 * Stand-ins for the cases in this folder: the platform's store (of
 * tools/platform), backends and clients, as of PROTOCOL.md. `standin CASE
 * FOLDER` writes the gateways' settings into FOLDER, waits until the gateways
 * are ready, plays the case, writes what was sent, answered and run to
 * record.txt in FOLDER, and exits with 1 if the rule was broken, 0 if it held,
 * and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
 *
 * The store runs in the main thread; backends and clients are threads or
 * processes with blocking sockets.
 */
#include "platform/store.h"

#include <auburnstile/internal/poller.h>

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define GATEWAYS 3
#define PORTS 5
#define BACKENDS_MAX 8
#define LIMIT_S 110

static struct platform_store *store;
static const char *folder;
static bool trouble;
static FILE *record;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static gint64 start_us;
static guint16 ports[PORTS];
static int verdict = 2;
static gint next_id;

static void sleep_ms(guint ms)
{
	g_usleep((gulong)ms * 1000);
}

static void note(const char *format, ...) G_GNUC_PRINTF(1, 2);

static void note(const char *format, ...)
{
	va_list arguments;

	pthread_mutex_lock(&record_lock);
	fprintf(record, "%9.3f ",
		(double)(g_get_monotonic_time() - start_us) / 1e6);
	va_start(arguments, format);
	vfprintf(record, format, arguments);
	va_end(arguments);
	fputc('\n', record);
	fflush(record);
	pthread_mutex_unlock(&record_lock);
}

static void new_id(char id[17])
{
	g_snprintf(id, 17, "%016x", g_atomic_int_add(&next_id, 1) + 0x1000);
}

/* --- sockets ------------------------------------------------------------ */

/* Largest segment that backends announce; 0: that of the loopback device. */
static int segment_bytes;

static int listen_on(const char *ip, guint16 *port, int receive_bytes)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(*port) };
	socklen_t length = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	const int on = 1;

	inet_pton(AF_INET, ip, &address.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (segment_bytes)
		setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes,
			   sizeof(segment_bytes));
	if (receive_bytes)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
			   sizeof(receive_bytes));
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) < 0 ||
	    listen(fd, 128) < 0) {
		perror("listen");
		exit(2);
	}
	getsockname(fd, (struct sockaddr *)&address, &length);
	*port = ntohs(address.sin_port);
	return fd;
}

static int connect_to(const char *ip, guint16 port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(port) };
	struct timeval limit = { .tv_sec = 20 };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	const int on = 1;

	inet_pton(AF_INET, ip, &address.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) < 0) {
		close(fd);
		return -1;
	}
	return fd;
}

static bool send_all(int fd, const char *data, gsize length)
{
	while (length) {
		ssize_t sent = send(fd, data, length, MSG_NOSIGNAL);

		if (sent <= 0)
			return false;
		data += sent;
		length -= (gsize)sent;
	}
	return true;
}

/* A connection with what was received and not used yet. */
struct wire {
	int fd;
	GString *in;
};

static bool wire_fill(struct wire *wire)
{
	char data[65536];
	ssize_t received = recv(wire->fd, data, sizeof(data), 0);

	if (received <= 0)
		return false;
	g_string_append_len(wire->in, data, received);
	return true;
}

struct message {
	char *head; /* without the empty line */
	GString *body;
	bool complete;
};

static void message_clear(struct message *message)
{
	g_free(message->head);
	if (message->body)
		g_string_free(message->body, TRUE);
	*message = (struct message){ 0 };
}

/* Returns the value of a header, freed by the caller; NULL if absent. */
static char *header(const char *head, const char *name)
{
	char **lines = g_strsplit(head, "\r\n", -1);
	char *value = NULL;

	for (guint i = 1; lines[i] && !value; i++) {
		char *colon = strchr(lines[i], ':');

		if (!colon)
			continue;
		*colon = '\0';
		if (!g_ascii_strcasecmp(lines[i], name))
			value = g_strstrip(g_strdup(colon + 1));
	}
	g_strfreev(lines);
	return value;
}

static bool read_head(struct wire *wire, struct message *message)
{
	char *end;

	while (!(end = strstr(wire->in->str, "\r\n\r\n")))
		if (!wire_fill(wire))
			return false;
	message->head = g_strndup(wire->in->str, (gsize)(end - wire->in->str));
	g_string_erase(wire->in, 0, end + 4 - wire->in->str);
	message->body = g_string_new(NULL);
	return true;
}

static bool take_bytes(struct wire *wire, gsize length, GString *to)
{
	while (wire->in->len < length)
		if (!wire_fill(wire)) {
			g_string_append_len(to, wire->in->str,
					    (gssize)wire->in->len);
			g_string_truncate(wire->in, 0);
			return false;
		}
	g_string_append_len(to, wire->in->str, (gssize)length);
	g_string_erase(wire->in, 0, (gssize)length);
	return true;
}

static bool read_chunks(struct wire *wire, GString *to)
{
	for (;;) {
		char *end;
		gsize size;

		while (!(end = strstr(wire->in->str, "\r\n")))
			if (!wire_fill(wire))
				return false;
		size = strtoul(wire->in->str, NULL, 16);
		g_string_erase(wire->in, 0, end + 2 - wire->in->str);
		if (!take_bytes(wire, size + 2, to))
			return false;
		g_string_truncate(to, to->len - 2);
		if (!size)
			return true;
	}
}

static bool read_body(struct wire *wire, struct message *message, bool to_end)
{
	char *length = header(message->head, "Content-Length");
	char *coding = header(message->head, "Transfer-Encoding");

	if (coding)
		message->complete = read_chunks(wire, message->body);
	else if (length)
		message->complete = take_bytes(wire, strtoul(length, NULL, 10),
					       message->body);
	else if (to_end)
		while (wire_fill(wire))
			;
	else
		message->complete = true;
	g_free(length);
	g_free(coding);
	return message->complete;
}

/* --- the platform's store ------------------------------------------------ */

struct backend {
	char id[24];
	const char *service;
	guint slots;
	guint16 port;
	int listener;
	gint running;
	pid_t process; /* 0: threads of this process */
	guint sequence;
};

static struct backend backends[BACKENDS_MAX];
static guint backend_count;
static gint64 born_ms;

struct route {
	const char *name;
	const char *kind;
	const char *service;
	guint timeout_ms;
	guint target_ms;
};

static struct route routes[4];
static guint route_count;
static guint config_version;
static gint config_due;
static gint config_done;

static void write_config(void)
{
	GString *text = g_string_new(NULL);

	config_version += 3;
	g_string_append_printf(
		text,
		"{\"version\":%u,\"routes\":{\"columns\":[\"name\",\"host\","
		"\"path_prefix\",\"kind\",\"timeout_ms\",\"target_latency_ms\","
		"\"priority\",\"max_attempts\",\"service\"],\"rows\":[",
		config_version);
	for (guint i = 0; i < route_count; i++)
		g_string_append_printf(
			text,
			"%s[\"%s\",\"site.example\",\"/%s/\",\"%s\",%u,%u,2,2,"
			"\"%s\"]",
			i ? "," : "", routes[i].name, routes[i].name,
			routes[i].kind, routes[i].timeout_ms,
			routes[i].target_ms, routes[i].service);
	g_string_append(text, "]},\"services\":{\"columns\":[\"name\","
			      "\"health_path\",\"max_conns\",\"warmup_s\","
			      "\"warmup_per_s\"],\"rows\":[");
	for (guint i = 0; i < backend_count; i++)
		if (!i ||
		    strcmp(backends[i].service, backends[i - 1].service) != 0)
			g_string_append_printf(
				text, "%s[\"%s\",\"/health\",260,3.0,20.0]",
				i ? "," : "", backends[i].service);
	g_string_append(text, "]},\"limits\":{\"max_header_bytes\":16384,"
			      "\"max_body_bytes\":16777216,"
			      "\"header_timeout_ms\":3000,"
			      "\"idle_timeout_ms\":15000}}");
	platform_store_put(store, "config", "main", text->str);
	note("store: version %u acknowledged", config_version);
	g_string_free(text, TRUE);
}

static void write_backends(void)
{
	for (guint i = 0; i < backend_count; i++) {
		struct backend *backend = &backends[i];
		char *text = g_strdup_printf(
			"{\"address\":\"127.0.0.1:%u\",\"details\":{"
			"\"service\":\"%s\",\"version\":\"v1\",\"zone\":\"z%u\","
			"\"slots\":%u},\"status\":{\"state\":\"ready\","
			"\"sequence\":%u,\"warmup_left_ms\":0},\"born\":"
			"%" G_GINT64_FORMAT "}",
			backend->port, backend->service, i % GATEWAYS,
			backend->slots, ++backend->sequence, born_ms);

		platform_store_put(store, "servers", backend->id, text);
		g_free(text);
	}
}

static gboolean on_beat(void *context)
{
	write_backends();
	return G_SOURCE_CONTINUE;
}

static gboolean on_config_check(void *context)
{
	if (g_atomic_int_compare_and_exchange(&config_due, 1, 0)) {
		write_config();
		g_atomic_int_set(&config_done, 1);
	}
	return G_SOURCE_CONTINUE;
}

/* Writes the routes as they are now, and waits until they are in force. */
static void change_config(void)
{
	g_atomic_int_set(&config_done, 0);
	g_atomic_int_set(&config_due, 1);
	while (!g_atomic_int_get(&config_done))
		sleep_ms(10);
	sleep_ms(2500); /* config_apply_ms is 2,000 */
}

/* --- backends ------------------------------------------------------------- */

/* How a backend runs a request that it has begun to work on. */
typedef bool run_function(struct backend *backend, struct wire *wire,
			  struct message *request, const char *id,
			  gint64 deadline_us);
static run_function *run_request;

#define STAMP "3e1b.07.5a2.600.0.c9f2a4d1"

static bool answer(struct wire *wire, guint status, const char *id,
		   const char *more, const char *body, gsize length)
{
	char *head = g_strdup_printf(
		"HTTP/1.1 %u X\r\nRequest-Id: %s\r\nResponse-Stamp: " STAMP
		"\r\n%sContent-Length: %zu\r\n\r\n",
		status, id, more, length);
	bool sent = send_all(wire->fd, head, strlen(head)) &&
		    send_all(wire->fd, body, length);

	g_free(head);
	return sent;
}

static bool answer_health(struct backend *backend, struct wire *wire)
{
	char *text = g_strdup_printf(
		"HTTP/1.1 200 OK\r\nInstance-Id: %s\r\n"
		"Instance-Load: %d,0,%u,100\r\nContent-Length: 0\r\n\r\n",
		backend->id, g_atomic_int_get(&backend->running),
		backend->slots);
	bool sent = send_all(wire->fd, text, strlen(text));

	g_free(text);
	return sent;
}

static bool serve_one(struct backend *backend, struct wire *wire,
		      struct message *request)
{
	char *id = header(request->head, "Request-Id");
	char *target = header(request->head, "Target-Instance");
	char *left = header(request->head, "Deadline-Remaining-Ms");
	gint64 deadline_us =
		g_get_monotonic_time() + (left ? atol(left) : 10000) * 1000;
	bool open;

	if (g_str_has_prefix(request->head, "GET /health ")) {
		open = answer_health(backend, wire);
	} else if (!id || (target && strcmp(target, backend->id) != 0)) {
		open = send_all(wire->fd,
				"HTTP/1.1 421 X\r\nNot-Executed: 1\r\n"
				"Content-Length: 0\r\n\r\n",
				58);
	} else if ((guint)g_atomic_int_add(&backend->running, 1) >=
		   backend->slots) {
		g_atomic_int_add(&backend->running, -1);
		open = read_body(wire, request, false) &&
		       answer(wire, 503, id, "Not-Executed: 1\r\n", "", 0);
		note("backend %s: %s not run, no slot", backend->id, id);
	} else {
		open = run_request(backend, wire, request, id, deadline_us);
		g_atomic_int_add(&backend->running, -1);
	}
	g_free(id);
	g_free(target);
	g_free(left);
	return open;
}

struct accepted {
	struct backend *backend;
	int fd;
};

static void *serve_connection(void *context)
{
	struct accepted *accepted = context;
	struct wire wire = { .fd = accepted->fd, .in = g_string_new(NULL) };
	struct message request = { 0 };
	bool open = true;

	while (open && read_head(&wire, &request)) {
		open = serve_one(accepted->backend, &wire, &request);
		message_clear(&request);
	}
	close(wire.fd);
	g_string_free(wire.in, TRUE);
	g_free(accepted);
	return NULL;
}

static void start_thread(void *(*run)(void *), void *context)
{
	pthread_attr_t attributes;
	pthread_t thread;

	pthread_attr_init(&attributes);
	pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attributes, 512 << 10);
	if (pthread_create(&thread, &attributes, run, context))
		exit(2);
	pthread_attr_destroy(&attributes);
}

static void *accept_connections(void *context)
{
	struct backend *backend = context;

	for (;;) {
		const int on = 1;
		struct accepted *accepted;
		int fd = accept(backend->listener, NULL, NULL);

		if (fd < 0)
			continue;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		accepted = g_new0(struct accepted, 1);
		accepted->backend = backend;
		accepted->fd = fd;
		start_thread(serve_connection, accepted);
	}
	return NULL;
}

/* Starts a backend: threads, or a process that can be killed. */
static void start_backend(const char *service, guint slots, bool as_process)
{
	struct backend *backend = &backends[backend_count];

	g_snprintf(backend->id, sizeof(backend->id), "i-%08x",
		   0x7f3a9100 + backend_count);
	backend_count++;
	backend->service = service;
	backend->slots = slots;
	backend->listener =
		listen_on("127.0.0.1", &backend->port, as_process ? 8192 : 0);
	if (!as_process) {
		start_thread(accept_connections, backend);
		return;
	}
	backend->process = fork();
	if (!backend->process) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		accept_connections(backend);
	}
	close(backend->listener);
}

/* Waits until the work is done or the deadline has come. */
static bool work(gint64 work_ms, gint64 deadline_us)
{
	gint64 end_us = g_get_monotonic_time() + work_ms * 1000;

	g_usleep((gulong)MAX(MIN(end_us, deadline_us) - g_get_monotonic_time(),
			     0));
	return end_us <= deadline_us;
}

/* Reads the body, works for as many ms as the path ends with, and answers. */
static bool run_plain(struct backend *backend, struct wire *wire,
		      struct message *request, const char *id,
		      gint64 deadline_us)
{
	char *path = g_strndup(request->head, strcspn(request->head, "\r"));
	char *number;
	gint64 work_ms;
	char *body;
	bool in_time;
	bool open;

	*strrchr(path, ' ') = '\0';
	number = strrchr(path, '/') + 1;
	work_ms = atol(number);
	if (!read_body(wire, request, false)) {
		note("backend %s: %s broke off in its body", backend->id, id);
		g_free(path);
		return false;
	}
	note("backend %s: runs %s (%s, body of %zu bytes)", backend->id, id,
	     path, request->body->len);
	in_time = work(work_ms, deadline_us);
	body = g_strdup_printf("the answer to %s\n", id);
	open = answer(wire, in_time ? 200 : 504, id, "", in_time ? body : "",
		      in_time ? strlen(body) : 0);
	note("backend %s: answered %s with %u", backend->id, id,
	     in_time ? 200 : 504);
	g_free(body);
	g_free(path);
	return open;
}

/* --- gateways --------------------------------------------------------------
 */

static char *gateway_ip(guint number)
{
	return g_strdup_printf("127.0.11.%u", number + 1);
}

/* The settings that deploy/gateway.toml.in gives on a small site. */
static void write_settings(void)
{
	static const char *const names[PORTS] = {
		"callers", "directory", "readiness", "peers", "metrics",
	};

	for (guint i = 0; i < PORTS; i++)
		close(listen_on("127.0.11.1", &ports[i], 0));
	for (guint i = 0; i < GATEWAYS; i++) {
		char *ip = gateway_ip(i);
		char *file = g_strdup_printf("%s/gateway-%u.toml", folder, i);
		char *part = g_strdup_printf("%s.part", file);
		FILE *out = fopen(part, "w");

		fprintf(out, "name = \"front-%u\"\nzone = \"z%u\"\n", i, i);
		for (guint port = 0; port < PORTS; port++)
			fprintf(out, "%s = \"%s:%u\"\n", names[port], ip,
				ports[port]);
		fprintf(out,
			"store = \"%s\"\n"
			"seeds = [\"127.0.11.1:1\",\"127.0.11.2:1\","
			"\"127.0.11.3:1\"]\n"
			"bootstrap = true\ngrace_s = 6\napply_ms = 2000\n"
			"retry_slack = 62\nretry_window_s = 10\n"
			"retry_ratio = 0.2\nprocessor_share = 0.2\n"
			"processor_cores = 1\n",
			platform_store_address(store));
		fclose(out);
		rename(part, file);
		g_free(part);
		g_free(file);
		g_free(ip);
	}
}

static bool is_ready(guint number)
{
	char *ip = gateway_ip(number);
	int fd = connect_to(ip, ports[2]);
	struct wire wire = { .fd = fd, .in = g_string_new(NULL) };
	struct message message = { 0 };
	bool ready = false;

	if (fd >= 0 &&
	    send_all(fd, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n", 33) &&
	    read_head(&wire, &message))
		ready = g_str_has_prefix(message.head, "HTTP/1.1 200");
	message_clear(&message);
	g_string_free(wire.in, TRUE);
	if (fd >= 0)
		close(fd);
	g_free(ip);
	return ready;
}

static bool wait_until_ready(void)
{
	for (guint tries = 0; tries < 200; tries++) {
		guint ready = 0;

		for (guint i = 0; i < GATEWAYS; i++)
			ready += is_ready(i);
		if (ready == GATEWAYS) {
			sleep_ms(3000); /* stable_window_ms */
			return true;
		}
		sleep_ms(100);
	}
	note("the gateways don't get ready");
	return false;
}

/* --- clients ---------------------------------------------------------------
 */

static struct wire *client_connect(guint gateway)
{
	char *ip = gateway_ip(gateway);
	struct wire *wire = g_new0(struct wire, 1);

	wire->fd = connect_to(ip, ports[0]);
	wire->in = g_string_new(NULL);
	g_free(ip);
	return wire;
}

static void client_close(struct wire *wire)
{
	if (wire->fd >= 0)
		close(wire->fd);
	g_string_free(wire->in, TRUE);
	g_free(wire);
}

static bool client_send(struct wire *wire, const char *method, const char *path,
			const char *id, guint deadline_ms, gsize body_length)
{
	char *head;
	char *body = g_malloc(body_length + 1);
	bool sent;

	memset(body, 'b', body_length);
	head = g_strdup_printf("%s %s HTTP/1.1\r\nHost: site.example\r\n"
			       "Request-Id: %s\r\nDeadline-Remaining-Ms: %u\r\n"
			       "%s%.0zu%s\r\n",
			       method, path, id, deadline_ms,
			       body_length ? "Content-Length: " : "",
			       body_length, body_length ? "\r\n" : "");
	note("client: sends %s %s %s, body of %zu bytes", id, method, path,
	     body_length);
	sent = send_all(wire->fd, head, strlen(head)) &&
	       send_all(wire->fd, body, body_length);
	g_free(head);
	g_free(body);
	return sent;
}

/* Reads an answer; false if the connection ended before it was complete. */
static bool client_read(struct wire *wire, struct message *message)
{
	return read_head(wire, message) && read_body(wire, message, true);
}

static guint status_of(const struct message *message)
{
	return message->head ? (guint)atoi(message->head + 9) : 0;
}

#include "cases.h"

struct chosen {
	const char *name;
	void (*prepare)(void);
	int (*play)(void);
};

static const struct chosen cases[] = {
	{ "1", case1_prepare, case1_play }, { "2", case2_prepare, case2_play },
	{ "3", case3_prepare, case3_play }, { "4", case4_prepare, case4_play },
	{ "5", case5_prepare, case5_play },
};

static GMainLoop *loop;
static const struct chosen *chosen;

static void *play(void *context)
{
	if (wait_until_ready())
		verdict = chosen->play();
	note("result: %s", verdict == 1 ? "the rule was broken" :
			   verdict == 0 ? "the rule held" :
					  "the case couldn't run");
	g_main_loop_quit(loop);
	return NULL;
}

static void end_backends(void)
{
	for (guint i = 0; i < backend_count; i++)
		if (backends[i].process > 0) {
			kill(backends[i].process, SIGKILL);
			waitpid(backends[i].process, NULL, 0);
		}
}

static gboolean on_limit(void *context)
{
	note("out of time");
	g_main_loop_quit(loop);
	return G_SOURCE_REMOVE;
}

int main(int argc, char **argv)
{
	const char *wanted = g_getenv("TROUBLE");
	char *file;

	if (argc != 3)
		return 2;
	for (guint i = 0; i < G_N_ELEMENTS(cases); i++)
		if (!strcmp(cases[i].name, argv[1]))
			chosen = &cases[i];
	if (!chosen)
		return 2;
	folder = argv[2];
	trouble = !wanted || strcmp(wanted, "0") != 0;
	file = g_strdup_printf("%s/record.txt", folder);
	record = fopen(file, "w");
	if (!record)
		return 2;
	start_us = g_get_monotonic_time();
	born_ms = g_get_real_time() / 1000 - 60000;
	signal(SIGPIPE, SIG_IGN);
	run_request = run_plain;
	chosen->prepare();
	store = platform_store_new(aub_poller_new(),
				   aub_timer_service_new(NULL));
	write_backends();
	write_config();
	write_settings();
	loop = g_main_loop_new(NULL, FALSE);
	g_timeout_add(1500, on_beat, NULL);
	g_timeout_add(20, on_config_check, NULL);
	g_timeout_add_seconds(LIMIT_S, on_limit, NULL);
	start_thread(play, NULL);
	g_main_loop_run(loop);
	end_backends();
	return verdict;
}
