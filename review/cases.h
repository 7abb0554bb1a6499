/* What is particular to each case; included by standin.c. */

/*
 * Case 1: one backend of seven sheds part of its requests for some seconds and
 * says when to come back, while as many callers press as have to queue.
 */
#define CASE1_BACKENDS 7
#define CASE1_SLOTS 6
#define CASE1_CLIENTS 75
#define CASE1_GREY_S 6
#define CASE1_SHED_PERCENT 49 /* x of srv_grey */

static gint case1_grey;
static gint case1_over;
static gint case1_lost;
/* By number of the request: whether a backend that is not grey ran it. */
static gint case1_ran[1 << 16];

static bool case1_run(struct backend *backend, struct wire *wire,
		      struct message *request, const char *id,
		      gint64 deadline_us)
{
	bool is_grey = backend == &backends[0];

	if (!is_grey || !g_atomic_int_get(&case1_grey) ||
	    g_random_int_range(0, 100) >= CASE1_SHED_PERCENT) {
		g_atomic_int_set(&case1_ran[strtoul(id, NULL, 16) & 0xffff],
				 is_grey ? 0 : 1);
		return run_plain(backend, wire, request, id, deadline_us);
	}
	note("backend %s: sheds %s", backend->id, id);
	return read_body(wire, request, false) &&
	       answer(wire, 503, id, "Not-Executed: 1\r\nRetry-After: 0.5\r\n",
		      "", 0);
}

static void case1_prepare(void)
{
	run_request = case1_run;
	for (guint i = 0; i < CASE1_BACKENDS; i++)
		start_backend("payments", CASE1_SLOTS, false);
	routes[0] = (struct route){ "pay", "unsafe", "payments", 4000, 1500 };
	route_count = 1;
}

/* Sends one request; returns false if its connection is of no more use. */
static bool case1_ask(struct wire *wire, guint gateway, bool kept)
{
	struct message message = { 0 };
	bool complete = false;
	char id[17];
	guint status;

	new_id(id);
	if (client_send(wire, "POST", "/pay/200", id, 4000, 100))
		complete = client_read(wire, &message);
	status = status_of(&message);
	if (complete) {
		note("client: %s answered, %u", id, status);
	} else {
		bool ran = g_atomic_int_get(
			&case1_ran[strtoul(id, NULL, 16) & 0xffff]);

		note("client: %s NOT ANSWERED by gateway %u, its connection "
		     "ended; %s%s",
		     id, gateway, kept ? "a kept connection" : "a new one",
		     ran ? ", run by a sound backend" : "");
		if (kept && ran)
			g_atomic_int_inc(&case1_lost);
	}
	if (complete && status != 200) {
		char *after = header(message.head, "Retry-After");

		sleep_ms(after ? (guint)(g_ascii_strtod(after, NULL) * 1000) :
				 300);
		g_free(after);
	}
	message_clear(&message);
	return complete;
}

static void *case1_press(void *context)
{
	guint gateway = GPOINTER_TO_UINT(context);

	while (!g_atomic_int_get(&case1_over)) {
		struct wire *wire = client_connect(gateway);
		bool kept = false;

		while (wire->fd >= 0 && !g_atomic_int_get(&case1_over) &&
		       case1_ask(wire, gateway, kept))
			kept = true;
		client_close(wire);
		sleep_ms(500);
	}
	return NULL;
}

static int case1_play(void)
{
	guint lost;

	for (guint i = 0; i < CASE1_CLIENTS; i++)
		start_thread(case1_press, GUINT_TO_POINTER(i % GATEWAYS));
	sleep_ms(2000);
	if (trouble) {
		note("backend %s begins to shed %u%% of its requests",
		     backends[0].id, CASE1_SHED_PERCENT);
		g_atomic_int_set(&case1_grey, 1);
	}
	sleep_ms(CASE1_GREY_S * 1000);
	g_atomic_int_set(&case1_grey, 0);
	note("backend %s sheds no more", backends[0].id);
	sleep_ms(1000);
	lost = (guint)g_atomic_int_get(&case1_lost);
	g_atomic_int_set(&case1_over, 1);
	note("LOST: %u requests of kept connections were passed on to sound "
	     "backends, and their connections ended without an answer",
	     lost);
	return lost > 3 ? 1 : 0;
}

/*
 * Case 2: the operator lowers the time-out of a route below the time that its
 * requests may wait for a slot, while clients send safe requests ahead.
 */
#define CASE2_EXPORT_MS 900
#define CASE2_ROUNDS 12
#define CASE2_DEADLINE_MS 10000

static void case2_prepare(void)
{
	start_backend("pages", 2, false);
	start_backend("pages", 2, false);
	routes[0] = (struct route){ "export", "safe", "pages", 8000, 1500 };
	routes[1] = (struct route){ "page", "safe", "pages", 4000, 1500 };
	route_count = 2;
}

static gint case2_over;

/* A client that asks for one export after the other. */
static void *case2_press(void *context)
{
	char *path = g_strdup_printf("/export/%u", CASE2_EXPORT_MS);

	while (!g_atomic_int_get(&case2_over)) {
		struct wire *wire = client_connect(GPOINTER_TO_UINT(context));
		struct message message = { 0 };
		char id[17];

		new_id(id);
		if (client_send(wire, "GET", path, id, CASE2_DEADLINE_MS, 0))
			client_read(wire, &message);
		if (status_of(&message) != 200)
			sleep_ms(1000); /* as Retry-After asks, or longer */
		message_clear(&message);
		client_close(wire);
	}
	g_free(path);
	return NULL;
}

#define CASE2_AHEAD 6

/* Sends some requests ahead; returns the number of wrong answers. */
static guint case2_round(guint gateway)
{
	struct wire *wire = client_connect(gateway);
	char ids[CASE2_AHEAD][17];
	guint wrong = 0;

	for (guint i = 0; i < CASE2_AHEAD; i++) {
		new_id(ids[i]);
		client_send(wire, "GET", i ? "/page/60" : "/export/2400",
			    ids[i], CASE2_DEADLINE_MS, 0);
	}
	for (guint i = 0; i < CASE2_AHEAD; i++) {
		struct message message = { 0 };
		char *id;

		if (!client_read(wire, &message)) {
			note("client: no answer to %s", ids[i]);
			message_clear(&message);
			break;
		}
		id = header(message.head, "Request-Id");
		note("client: awaits the answer to %s, gets %u for %s%s",
		     ids[i], status_of(&message), id ? id : "(none)",
		     g_strcmp0(id, ids[i]) ? " WRONG" : "");
		wrong += g_strcmp0(id, ids[i]) != 0;
		g_free(id);
		message_clear(&message);
	}
	client_close(wire);
	return wrong;
}

static int case2_play(void)
{
	guint wrong = 0;

	if (trouble) {
		routes[1].timeout_ms = 700;
		change_config();
	}
	for (guint i = 0; i < 6; i++)
		start_thread(case2_press, GUINT_TO_POINTER(i % GATEWAYS));
	sleep_ms(2000);
	for (guint i = 0; i < CASE2_ROUNDS; i++)
		wrong += case2_round(i % GATEWAYS);
	g_atomic_int_set(&case2_over, 1);
	note("MIXED: %u answers belong to another request", wrong);
	return wrong ? 1 : 0;
}

/*
 * Case 3: a backend that has begun an answer without a length, while it has
 * not read the whole request yet, crashes.
 */
#define CASE3_ANSWER_BYTES 20000
#define CASE3_BEGUN_BYTES 8000
#define CASE3_BODY_BYTES (8u << 20)

/* One of eight crashes: 0.125 of the service. */
#define CASE3_BACKENDS 8

static char case3_answer[CASE3_ANSWER_BYTES];
/* By which a backend's process says that it has begun its answer. */
static int case3_begun[2];

static bool case3_run(struct backend *backend, struct wire *wire,
		      struct message *request, const char *id,
		      gint64 deadline_us)
{
	char *head = g_strdup_printf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
				     "Response-Stamp: " STAMP "\r\n"
				     "Connection: close\r\n\r\n",
				     id);
	bool open;

	note("backend %s: runs %s", backend->id, id);
	open = send_all(wire->fd, head, strlen(head)) &&
	       send_all(wire->fd, case3_answer, CASE3_BEGUN_BYTES);
	g_free(head);
	note("backend %s: has sent %u of %u bytes of its answer to %s",
	     backend->id, CASE3_BEGUN_BYTES, CASE3_ANSWER_BYTES, id);
	if (write(case3_begun[1], &(char){ (char)(backend - backends) }, 1) !=
	    1)
		return false;
	sleep_ms(1500);
	if (!open)
		return false;
	(void)send_all(wire->fd, case3_answer + CASE3_BEGUN_BYTES,
		       CASE3_ANSWER_BYTES - CASE3_BEGUN_BYTES);
	(void)read_body(wire, request, false);
	note("backend %s: has sent all of its answer to %s, read %zu bytes",
	     backend->id, id, request->body->len);
	return false;
}

static void case3_prepare(void)
{
	for (guint i = 0; i < CASE3_ANSWER_BYTES; i++)
		case3_answer[i] = (char)('a' + i % 26);
	run_request = case3_run;
	if (pipe(case3_begun))
		exit(2);
	for (guint i = 0; i < CASE3_BACKENDS; i++)
		start_backend("import", 2, true);
	routes[0] = (struct route){ "import", "unsafe", "import", 8000, 1500 };
	route_count = 1;
}

struct case3_upload {
	struct wire *wire;
	char id[17];
};

static void *case3_send(void *context)
{
	struct case3_upload *upload = context;

	(void)client_send(upload->wire, "POST", "/import/1", upload->id, 10000,
			  CASE3_BODY_BYTES);
	return NULL;
}

static int case3_play(void)
{
	struct case3_upload upload = { .wire = client_connect(0) };
	struct message message = { 0 };
	pthread_t sender;
	char number;
	bool complete;
	char *stamp;
	int result;

	new_id(upload.id);
	pthread_create(&sender, NULL, case3_send, &upload);
	if (read(case3_begun[0], &number, 1) != 1)
		return 2;
	sleep_ms(700);
	if (trouble) {
		note("backend %s crashes (SIGKILL)",
		     backends[(guint)number].id);
		kill(backends[(guint)number].process, SIGKILL);
	}
	complete = client_read(upload.wire, &message);
	stamp = message.head ? header(message.head, "Response-Stamp") : NULL;
	note("client: %s gets %u, stamp %s, a body of %zu bytes, %s", upload.id,
	     status_of(&message), stamp ? stamp : "(none)",
	     message.body ? message.body->len : 0,
	     complete ? "complete" : "not complete");
	result = complete && status_of(&message) / 100 == 2 &&
		 (message.body->len != CASE3_ANSWER_BYTES ||
		  memcmp(message.body->str, case3_answer, CASE3_ANSWER_BYTES));
	if (!trouble && (!complete || status_of(&message) != 200))
		result = 2;
	note("MIXED: %s", result == 1 ? "a success without the whole body" :
					"no such success");
	g_free(stamp);
	message_clear(&message);
	shutdown(upload.wire->fd, SHUT_RDWR);
	pthread_join(sender, NULL);
	client_close(upload.wire);
	return result;
}

/*
 * Case 4: a client sends further safe requests, with bodies, before the first
 * one has been answered.
 */
#define CASE4_ROUNDS 10
#define CASE4_BODY_BYTES 40000
#define CASE4_AHEAD 4

static void case4_prepare(void)
{
	start_backend("search", 6, false);
	start_backend("search", 6, false);
	routes[0] = (struct route){ "search", "safe", "search", 2500, 800 };
	route_count = 1;
}

/* Returns whether a request that was passed on lost its connection. */
static bool case4_round(guint gateway)
{
	struct wire *wire = client_connect(gateway);
	guint sent = 0;
	bool lost = false;

	for (guint i = 0; i < CASE4_AHEAD && !lost; i++) {
		struct message message = { 0 };
		bool complete;
		char id[17];

		/* The first request makes it a kept connection. */
		do {
			new_id(id);
			client_send(wire, "POST", "/search/300", id, 5000,
				    sent < 2 ? 1000 : CASE4_BODY_BYTES);
			if (trouble && sent == 1)
				sleep_ms(100);
			sent++;
		} while (trouble && i && sent < CASE4_AHEAD);
		complete = client_read(wire, &message);
		note("client: answer %u: %s, %u", i,
		     complete ? "complete" : "NONE, connection ended",
		     status_of(&message));
		message_clear(&message);
		lost = !complete;
	}
	client_close(wire);
	return lost;
}

static int case4_play(void)
{
	guint lost = 0;

	for (guint i = 0; i < CASE4_ROUNDS; i++)
		lost += case4_round(i % GATEWAYS);
	note("LOST: %u requests of kept connections were passed on, and their "
	     "connections ended without an answer",
	     lost);
	return lost > 3 ? 1 : 0;
}

/*
 * Case 5: an upload of 100 KB has to wait for a slot while many callers press;
 * afterwards another request is sent on its connection.
 */
#define CASE5_ROUNDS 5
#define CASE5_PRESS 9
#define CASE5_WORK_MS 400
#define CASE5_BODY_BYTES 100000
#define CASE5_TIMEOUT_MS 3000

static gint case5_over;

static void case5_prepare(void)
{
	start_backend("import", 2, false);
	start_backend("import", 2, false);
	routes[0] = (struct route){ "import", "unsafe", "import",
				    CASE5_TIMEOUT_MS, 1500 };
	route_count = 1;
}

static void *case5_press(void *context)
{
	char *path = g_strdup_printf("/import/%u", CASE5_WORK_MS);

	while (!g_atomic_int_get(&case5_over)) {
		struct wire *wire = client_connect(GPOINTER_TO_UINT(context));
		struct message message = { 0 };
		char id[17];

		new_id(id);
		if (client_send(wire, "POST", path, id, 5000, 100))
			client_read(wire, &message);
		if (status_of(&message) != 200)
			sleep_ms(1000);
		message_clear(&message);
		client_close(wire);
	}
	g_free(path);
	return NULL;
}

static bool wait_readable(int fd, int limit_ms)
{
	struct pollfd poll_fd = { .fd = fd, .events = POLLIN };

	return poll(&poll_fd, 1, limit_ms) == 1;
}

/* Sends an upload whose body follows its head 50 ms later. */
static void case5_upload(struct wire *wire, const char *id)
{
	char *head = g_strdup_printf(
		"POST /import/%u HTTP/1.1\r\nHost: site.example\r\n"
		"Request-Id: %s\r\nDeadline-Remaining-Ms: 5000\r\n"
		"Content-Length: %u\r\n\r\n",
		CASE5_WORK_MS, id, CASE5_BODY_BYTES);
	char *body = g_malloc0(CASE5_BODY_BYTES);

	note("client: sends %s POST /import, body of %u bytes", id,
	     CASE5_BODY_BYTES);
	send_all(wire->fd, head, strlen(head));
	sleep_ms(50);
	send_all(wire->fd, body, CASE5_BODY_BYTES);
	g_free(head);
	g_free(body);
}

/* Returns whether the request after the upload is never answered. */
static bool case5_round(guint gateway, guint *late)
{
	struct wire *wire = client_connect(gateway);
	struct message message = { 0 };
	bool complete;
	bool unanswered = false;
	char id[17];

	new_id(id);
	case5_upload(wire, id);
	complete = client_read(wire, &message);
	note("client: %s %s, %u", id, complete ? "answered" : "NOT ANSWERED",
	     status_of(&message));
	if (status_of(&message) != 200) {
		message_clear(&message);
		client_close(wire);
		return false;
	}
	message_clear(&message);
	new_id(id);
	client_send(wire, "POST", "/import/10", id, 5000, 100);
	if (wait_readable(wire->fd, CASE5_TIMEOUT_MS)) {
		complete = client_read(wire, &message);
		note("client: %s %s, %u", id,
		     complete ? "answered" : "NOT ANSWERED",
		     status_of(&message));
	} else {
		(*late)++;
		unanswered = !wait_readable(wire->fd, 500);
		note("client: %s unanswered at its time-out%s", id,
		     unanswered ? ", and half a second later" : "");
	}
	message_clear(&message);
	client_close(wire);
	return unanswered;
}

static int case5_play(void)
{
	guint unanswered = 0;
	guint late = 0;

	for (guint i = 0; trouble && i < CASE5_PRESS; i++)
		start_thread(case5_press, GUINT_TO_POINTER(i % GATEWAYS));
	sleep_ms(2000);
	for (guint i = 0; i < 3 * CASE5_ROUNDS && late < CASE5_ROUNDS; i++)
		unanswered += case5_round(i % GATEWAYS, &late);
	g_atomic_int_set(&case5_over, 1);
	note("CONFIG: of %u requests unanswered at their time-out, %u have no "
	     "answer half a second later",
	     late, unanswered);
	return unanswered > late / 2 ? 1 : 0;
}
