/*
 * The cases of the second review. Each returns 1 if the rule was broken, 0 if
 * it held, and 2 if the case could not run.
 */
#include "standin-2.h"

#include <msgpack.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

static void pack_text(msgpack_packer *packer, const char *text)
{
	msgpack_pack_str_with_body(packer, text, strlen(text));
}

/*
 * The entry of another writer: its only field `updated` is a msgpack timestamp
 * (extension type -1), a type that no field of an entry has.
 */
static GBytes *foreign_entry(void)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;
	GBytes *bytes;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_map(&packer, 2);
	pack_text(&packer, "address");
	pack_text(&packer, "127.0.0.1:9");
	pack_text(&packer, "updated");
	msgpack_pack_ext(&packer, 4, -1);
	msgpack_pack_ext_body(&packer, "\x6a\x0f\x52\x00", 4);
	bytes = g_bytes_new(buffer.data, buffer.size);
	msgpack_sbuffer_destroy(&buffer);
	return bytes;
}

/* Counts requests later than DRAIN_MS after the backend's drain was
 * acknowledged.
 */
static void count_late_arrivals(struct backend *backend, struct call *call)
{
	gint64 now = world_now_us(backend->world);

	if (!backend->draining_us ||
	    now - backend->draining_us <= DRAIN_MS * AUB_MS)
		return;
	if (!backend->late_arrivals++)
		world_note(backend->world,
			   "request %s (%s) reaches %s %.3f s after its drain "
			   "was acknowledged",
			   call ? call->id : "?",
			   call && call->safe ? "safe" : "unsafe", backend->id,
			   (double)(now - backend->draining_us) / 1e6);
}

static void note_calls(struct world *world)
{
	guint good = 0;
	guint refused = 0;
	guint other = 0;
	guint none = 0;

	for (guint i = 0; i < world->calls->len; i++) {
		const struct call *call = g_ptr_array_index(world->calls, i);

		if (!call->ended || !call->status)
			none++;
		else if (call->status == 200)
			good++;
		else if (call->status == 503 || call->status == 429)
			refused++;
		else
			other++;
	}
	world_note(world,
		   "%u requests: %u with 200, %u with 503 or 429, %u with "
		   "another status, %u without an answer",
		   world->calls->len, good, refused, other, none);
}

static void add_backends(struct world *world, guint count, guint work_ms)
{
	for (guint i = 0; i < count; i++) {
		char id[16];

		g_snprintf(id, sizeof(id), "i-%u", i + 1);
		backend_register(backend_new(world, id, "z1", 6, work_ms),
				 "ready", 0);
	}
}

static bool start_gateways(struct world *world, const char *const *names)
{
	for (guint i = 0; names[i]; i++)
		gateway_new(world, names[i], "z1");
	for (guint i = 0; names[i]; i++)
		gateway_start(g_ptr_array_index(world->gateways, i));
	return world_wait_ready(world, 8000);
}

/*
 * DRAIN: an entry of another writer has a field of a type that the gateways
 * don't read. They refuse the whole listing and every later change of kind
 * `servers`, so that a release of two of five backends passes them by.
 */
static int case_foreign(struct world *world)
{
	static const char *const names[] = { "front-1", "front-2", NULL };
	struct backend *leaving;
	GBytes *entry = foreign_entry();
	guint64 late_arrivals = 0;

	world->on_arrival = count_late_arrivals;
	add_backends(world, 5, 50);
	world_configure(world, 7, 16384);
	if (!start_gateways(world, names))
		return 2;
	world_set_load(world, 400);
	world_run_for(world, 4000);
	if (world->trouble) {
		store_put(world->store, "servers", "i-foreign", entry);
		world_note(world,
			   "store: servers/i-foreign is written by another "
			   "writer, with a timestamp as a field");
	}
	g_bytes_unref(entry);
	world_run_for(world, 4000);
	/* The new one starts first, then the old one drains. */
	for (guint i = 0; i < 2; i++) {
		char id[16];

		g_snprintf(id, sizeof(id), "i-new-%u", i + 1);
		backend_register(backend_new(world, id, "z1", 6, 50), "ready",
				 0);
		world_run_for(world, 1000);
		leaving = g_ptr_array_index(world->backends, i);
		leaving->draining_us = backend_register(leaving, "draining", 0);
	}
	world_run_for(world, 10000);
	world_set_load(world, 0);
	world_run_for(world, 3000);
	note_calls(world);
	for (guint i = 0; i < 2; i++) {
		leaving = g_ptr_array_index(world->backends, i);
		late_arrivals += leaving->late_arrivals;
	}
	for (guint i = 5; i < world->backends->len; i++) {
		leaving = g_ptr_array_index(world->backends, i);
		world_note(world, "%s ran %" G_GUINT64_FORMAT " requests",
			   leaving->id, leaving->runs);
	}
	world_note(world,
		   "%" G_GUINT64_FORMAT
		   " requests reached a backend later than "
		   "%d ms after its drain was acknowledged",
		   late_arrivals, DRAIN_MS);
	return late_arrivals ? 1 : 0;
}

/*
 * DENIED: a version of the configuration raises max_header_bytes; connections
 * that were open before keep the old limit.
 */
static int case_headers(struct world *world)
{
	static const char *const names[] = { "front-1", "front-2", NULL };
	guint denied = 0;
	guint served = 0;
	guint first;

	add_backends(world, 3, 20);
	world_configure(world, 7, world->trouble ? 16384 : 32768);
	if (!start_gateways(world, names))
		return 2;
	/* Connections that clients keep open, as many as requests at once. */
	world_set_load(world, 30);
	for (guint i = 0; i < 5; i++) {
		for (guint j = 0; j < 60; j++)
			world_send(world,
				   g_ptr_array_index(world->gateways,
						     j % world->gateways->len),
				   true, 0);
		world_run_for(world, 1000);
	}
	if (world->trouble)
		world_configure(world, 9, 32768);
	world_run_for(world, APPLY_MS + STABLE_MS);
	first = world->calls->len;
	for (guint i = 0; i < 60; i++)
		world_send(world,
			   g_ptr_array_index(world->gateways,
					     i % world->gateways->len),
			   true, 20000);
	world_set_load(world, 0);
	world_run_for(world, 3000);
	note_calls(world);
	for (guint i = first; i < world->calls->len; i++) {
		const struct call *call = g_ptr_array_index(world->calls, i);

		denied += call->status == 431;
		served += call->status == 200;
	}
	world_note(world,
		   "after the change, %u requests got 431 and %u got 200; the "
		   "rule allows %u",
		   denied, served, 5 + world->calls->len / 500);
	return denied > 5 + world->calls->len / 500 ? 1 : 0;
}

/*
 * Names of three gateways: the first two follow the store for their zone, and
 * the third places for `svc`. Ranks are digests of a role and a name.
 */
static guint64 rank_of(const char *role, const char *name)
{
	GChecksum *checksum = g_checksum_new(G_CHECKSUM_MD5);
	guint8 digest[16];
	gsize length = sizeof(digest);
	guint64 key;

	g_checksum_update(checksum, (const guchar *)role, -1);
	g_checksum_update(checksum, (const guchar *)" ", 1);
	g_checksum_update(checksum, (const guchar *)name, -1);
	g_checksum_get_digest(checksum, digest, &length);
	g_checksum_free(checksum);
	memcpy(&key, digest, sizeof(key));
	return GUINT64_FROM_BE(key);
}

#define WATCH_ROLE "store watch"

static bool places_and_follows_last(const char *placer, const char *other)
{
	return rank_of("svc", placer) < rank_of("svc", other) &&
	       rank_of(WATCH_ROLE, placer) > rank_of(WATCH_ROLE, other);
}

static void pick_names(char names[3][16])
{
	char other[16];
	guint found = 0;

	g_strlcpy(names[2], "front-1", sizeof(names[2]));
	for (guint i = 2; found < 2; i++) {
		g_snprintf(other, sizeof(other), "front-%u", i);
		if (places_and_follows_last(names[2], other))
			g_strlcpy(names[found++], other, sizeof(other));
		if (i < 40)
			continue;
		/* This one ranks low; try the next one. */
		g_snprintf(names[2], sizeof(names[2]), "front-%u",
			   1 + (guint)strtoul(names[2] + 6, NULL, 10));
		found = 0;
		i = 1;
	}
}

/* Counts requests in zone z2 later than EVACUATION_MS after its evacuation. */
static void count_evacuated_arrivals(struct backend *backend, struct call *call)
{
	gint64 now = world_now_us(backend->world);

	if (!backend->draining_us ||
	    now - backend->draining_us <= EVACUATION_MS * AUB_MS)
		return;
	/* Neither the gateway nor the store is disturbed by then. */
	if (!call || !call->gateway->in_touch_us ||
	    call->sent_us < call->gateway->in_touch_us)
		return;
	if (!backend->late_arrivals++)
		world_note(backend->world,
			   "request %s, sent to %s, reaches %s of the "
			   "evacuated zone, %.3f s after the acknowledgement",
			   call->id, call->gateway->name, backend->id,
			   (double)(now - backend->draining_us) / 1e6);
}

static void stop_gateway(struct gateway *gateway)
{
	world_note(gateway->world, "SIGTERM to %s (planned)", gateway->name);
	kill(gateway->pid, SIGTERM);
	while (!waitpid(gateway->pid, NULL, WNOHANG))
		world_run_for(gateway->world, 20);
	gateway->pid = 0;
	world_note(gateway->world, "%s has ended", gateway->name);
}

/*
 * EVAC: a gateway that follows the store no longer, but whose last watch is
 * still open when the store forgets its history, lists with "stale_ok" and goes
 * on with that older state.
 */
static int case_forget(struct world *world)
{
	struct gateway *gateways[3];
	guint64 late_arrivals = 0;
	char names[3][16];
	gint64 evacuated_us;

	world->on_arrival = count_evacuated_arrivals;
	pick_names(names);
	for (guint i = 0; i < 4; i++) {
		char id[16];

		g_snprintf(id, sizeof(id), "i-%u", i + 1);
		backend_register(backend_new(world, id, i < 2 ? "z1" : "z2", 4,
					     50),
				 "ready", 0);
	}
	world_configure(world, 7, 16384);
	for (guint i = 0; i < 3; i++)
		gateways[i] = gateway_new(world, names[i], "z1");
	for (guint i = 0; i < 3; i++)
		gateway_start(gateways[i]);
	if (!world_wait_ready(world, 8000))
		return 2;
	/* Clients of gateways 2 and 3. */
	gateways[0]->without_clients = true;
	world_set_load(world, 130);
	world_run_for(world, 4000);
	stop_gateway(gateways[0]);
	world_run_for(world, 1000);
	evacuated_us = store_put_json(world->store, "evacuations", "z2", "{}");
	world_note(world, "store: evacuations/z2 is there");
	for (guint i = 2; i < 4; i++)
		((struct backend *)g_ptr_array_index(world->backends, i))
			->draining_us = evacuated_us;
	world_run_for(world, 2000);
	gateway_start(gateways[0]);
	world_run_for(world, 400);
	if (world->trouble) {
		world->store->stale_ms = 5500;
		store_forget(world->store);
		world_note(world, "store: the history is dropped; stale reads "
				  "are 5.5 s behind");
	}
	/* The two that weren't stopped. */
	gateways[1]->in_touch_us = world_now_us(world) + STABLE_MS * AUB_MS;
	gateways[2]->in_touch_us = gateways[1]->in_touch_us;
	world_run_for(world, 11900);
	world->store->stale_ms = 0;
	world_set_load(world, 0);
	world_run_for(world, 3000);
	note_calls(world);
	for (guint i = 0; i < world->backends->len; i++)
		late_arrivals +=
			((struct backend *)g_ptr_array_index(world->backends,
							     i))
				->late_arrivals;
	world_note(world,
		   "%" G_GUINT64_FORMAT " requests from machines in touch "
		   "reached the evacuated zone later than %d ms after the "
		   "acknowledgement",
		   late_arrivals, EVACUATION_MS);
	return late_arrivals ? 1 : 0;
}

static void note_second_run(struct backend *backend, struct call *call)
{
	if (call && !call->safe && call->runs > 1)
		world_note(backend->world,
			   "unsafe request %s runs at %s, for the %u. time",
			   call->id, backend->id, call->runs);
}

/*
 * TWICE: a faulty backend sends additional bytes after complete answers. They
 * are a refusal without a Request-Id, and the gateway takes them for the answer
 * to the next request on the connection.
 */
static int case_extra(struct world *world)
{
	static const char *const names[] = { "front-1", "front-2", NULL };
	guint64 extras = 0;
	guint twice = 0;
	guint refused = 0;
	guint unsafe = 0;

	world->on_run = note_second_run;
	add_backends(world, 4, 50);
	world_configure(world, 7, 16384);
	if (!start_gateways(world, names))
		return 2;
	world_set_load(world, 350);
	world_run_for(world, 5000);
	for (guint i = 2; i < 4 && world->trouble; i++)
		((struct backend *)g_ptr_array_index(world->backends, i))
			->extra_every = 34;
	world_run_for(world, 5000);
	for (guint i = 2; i < 4; i++)
		((struct backend *)g_ptr_array_index(world->backends, i))
			->extra_every = 0;
	world_run_for(world, 2000);
	world_set_load(world, 0);
	world_run_for(world, 3000);
	for (guint i = 0; i < world->backends->len; i++)
		extras += ((struct backend *)g_ptr_array_index(world->backends,
							       i))
				  ->extras;
	for (guint i = 0; i < world->calls->len; i++) {
		const struct call *call = g_ptr_array_index(world->calls, i);

		if (call->safe)
			continue;
		unsafe++;
		twice += call->runs > 1;
		refused += call->runs && call->status == 503;
	}
	note_calls(world);
	for (guint i = 0; i < world->backends->len; i++) {
		const struct backend *backend =
			g_ptr_array_index(world->backends, i);

		world_note(world,
			   "%s ran %" G_GUINT64_FORMAT " requests, and sent "
			   "additional bytes %" G_GUINT64_FORMAT " times",
			   backend->id, backend->runs, backend->extras);
	}
	world_note(world,
		   "%" G_GUINT64_FORMAT " times additional bytes; of %u unsafe "
		   "requests %u ran more than once, and %u got 503 though they "
		   "ran",
		   extras, unsafe, twice, refused);
	return twice || refused ? 1 : 0;
}

#define OTHER_BACKENDS 50

/* The entries of another service, whose names come first in a listing. */
static void add_other_service(struct world *world)
{
	for (guint i = 0; i < OTHER_BACKENDS; i++) {
		char id[16];
		struct backend *backend;

		g_snprintf(id, sizeof(id), "a-%02u", i);
		backend = backend_new(world, id, "z1", 6, 50);
		g_free(backend->service);
		backend->service = g_strdup("other");
		backend_register(backend, "ready", 0);
	}
}

/* Counts as count_late_arrivals(), by machines in touch only. */
static void count_late_arrivals_in_touch(struct backend *backend,
					 struct call *call)
{
	if (call && call->gateway->in_touch_us &&
	    call->sent_us >= call->gateway->in_touch_us)
		count_late_arrivals(backend, call);
}

/*
 * DRAIN: a gateway that starts gets a listing whose second page is older than
 * its first. It goes on from the revision of the first page, and never learns
 * what changed in between.
 */
static int case_pages(struct world *world)
{
	struct gateway *gateways[2];
	struct backend *leaving;
	char names[3][16];
	guint64 late_arrivals = 0;
	guint first;

	world->on_arrival = count_late_arrivals_in_touch;
	world->store->page_size = OTHER_BACKENDS;
	add_other_service(world);
	add_backends(world, 5, 50);
	world_configure(world, 7, 16384);
	pick_names(names);
	/* The second one places for `svc`. */
	gateways[0] = gateway_new(world, names[0], "z1");
	gateways[1] = gateway_new(world, names[2], "z1");
	gateway_start(gateways[0]);
	gateway_start(gateways[1]);
	if (!world_wait_ready(world, 8000))
		return 2;
	gateways[0]->in_touch_us = world_now_us(world) + STABLE_MS * AUB_MS;
	gateways[1]->without_clients = true;
	world_set_load(world, 400);
	world_run_for(world, 4000);
	stop_gateway(gateways[1]);
	world_run_for(world, 1000);
	first = world->backends->len;
	for (guint i = 0; i < 2; i++) {
		char id[16];

		g_snprintf(id, sizeof(id), "i-new-%u", i + 1);
		backend_register(backend_new(world, id, "z1", 6, 50), "ready",
				 0);
		world_run_for(world, 1000);
		leaving =
			g_ptr_array_index(world->backends, OTHER_BACKENDS + i);
		leaving->draining_us = backend_register(leaving, "draining", 0);
	}
	if (world->trouble) {
		world->store->stale_ms = 3000;
		world->store->first_page_is_fresh = true;
		world_note(world, "store: the second page of a listing with "
				  "stale_ok is 3 s behind");
	}
	gateway_start(gateways[1]);
	gateways[1]->in_touch_us = world_now_us(world) + STABLE_MS * AUB_MS;
	world_run_for(world, 1500);
	gateways[1]->without_clients = false;
	world_run_for(world, 10000);
	world->store->stale_ms = 0;
	world_set_load(world, 0);
	world_run_for(world, 3000);
	note_calls(world);
	for (guint i = 0; i < 2; i++) {
		leaving =
			g_ptr_array_index(world->backends, OTHER_BACKENDS + i);
		late_arrivals += leaving->late_arrivals;
		leaving = g_ptr_array_index(world->backends, first + i);
		world_note(world, "%s ran %" G_GUINT64_FORMAT " requests",
			   leaving->id, leaving->runs);
	}
	world_note(world,
		   "%" G_GUINT64_FORMAT " requests from machines in touch "
		   "reached a backend later than %d ms after its drain was "
		   "acknowledged",
		   late_arrivals, DRAIN_MS);
	return late_arrivals ? 1 : 0;
}

/*
 * LOST: with a grace time of 10 s, a gateway takes new requests until 4.5 s
 * after SIGTERM, and ends 9.8 s after it, whatever is at work.
 */
static int case_stop(struct world *world)
{
	static const char *const names[] = { "front-1", "front-2", NULL };
	struct gateway *stopped;
	guint lost = 0;
	guint first;

	world->grace_s = 10;
	world->once_timeout_ms = 6000;
	world->deadline_ms = 12000;
	add_backends(world, 4, 5600);
	world_configure(world, 7, 16384);
	if (!start_gateways(world, names))
		return 2;
	stopped = g_ptr_array_index(world->gateways, 1);
	world_run_for(world, 4000);
	if (world->trouble) {
		world_note(world, "SIGTERM to %s (planned)", stopped->name);
		kill(stopped->pid, SIGTERM);
	}
	world_run_for(world, 4000);
	first = world->calls->len;
	/* A client that still has the address, from an answer of before. */
	for (guint i = 0; i < 8; i++) {
		world_send(world, stopped, false, 0);
		world_run_for(world, 50);
	}
	world_run_for(world, 10000);
	note_calls(world);
	for (guint i = first; i < world->calls->len; i++) {
		const struct call *call = g_ptr_array_index(world->calls, i);

		if (call->status || !call->runs)
			continue;
		lost++;
		world_note(
			world,
			"unsafe request %s, sent at %.3f, was passed on, and "
			"its connection ended without an answer after %.3f s",
			call->id,
			(double)(call->sent_us - world->start_us) / 1e6,
			(double)(call->answered_us - call->sent_us) / 1e6);
	}
	world_note(world, "%u requests lost", lost);
	return lost ? 1 : 0;
}

#define OVERTAKEN_GATEWAYS 10

/*
 * EVAC: a gateway that was suspended reads shared changes from its datagram
 * socket before an older answer of the store, and applies that one last.
 */
static int case_overtaken(struct world *world)
{
	struct gateway *gateways[OVERTAKEN_GATEWAYS];
	char names[3][16];
	char name[16];
	guint count = 2;
	guint64 late_arrivals = 0;
	gint64 evacuated_us;

	world->on_arrival = count_evacuated_arrivals;
	pick_names(names);
	for (guint i = 0; i < 4; i++) {
		char id[16];

		g_snprintf(id, sizeof(id), "i-%u", i + 1);
		backend_register(backend_new(world, id, i < 2 ? "z1" : "z2", 4,
					     50),
				 "ready", 0);
	}
	world_configure(world, 7, 16384);
	store_put_json(world->store, "evacuations", "z2", "{}");
	/* The second one places, and is the second to follow the store. */
	gateways[0] = gateway_new(world, names[0], "z1");
	gateways[1] = gateway_new(world, names[2], "z1");
	for (guint i = 1; count < OVERTAKEN_GATEWAYS; i++) {
		g_snprintf(name, sizeof(name), "front-%u", i);
		if (rank_of("svc", name) > rank_of("svc", names[2]) &&
		    rank_of(WATCH_ROLE, name) > rank_of(WATCH_ROLE, names[2]))
			gateways[count++] = gateway_new(world, name, "z1");
	}
	for (guint i = 0; i < OVERTAKEN_GATEWAYS; i++)
		gateway_start(gateways[i]);
	if (!world_wait_ready(world, 8000))
		return 2;
	world_set_load(world, 130);
	world_run_for(world, 6000);
	if (world->trouble) {
		world_note(world, "SIGSTOP to %s", gateways[1]->name);
		kill(gateways[1]->pid, SIGSTOP);
	}
	world_run_for(world, 50);
	store_remove(world->store, "evacuations", "z2");
	world_note(world, "store: evacuations/z2 is removed");
	world_run_for(world, 450);
	evacuated_us = store_put_json(world->store, "evacuations", "z2", "{}");
	world_note(world, "store: evacuations/z2 is there again");
	for (guint i = 2; i < 4; i++)
		((struct backend *)g_ptr_array_index(world->backends, i))
			->draining_us = evacuated_us;
	world_run_for(world, 2000);
	if (world->trouble) {
		kill(gateways[1]->pid, SIGCONT);
		world_note(world, "SIGCONT to %s", gateways[1]->name);
	}
	for (guint i = 0; i < OVERTAKEN_GATEWAYS; i++)
		gateways[i]->in_touch_us =
			world_now_us(world) + STABLE_MS * AUB_MS;
	world_run_for(world, 12000);
	world_set_load(world, 0);
	world_run_for(world, 3000);
	note_calls(world);
	for (guint i = 0; i < world->backends->len; i++)
		late_arrivals +=
			((struct backend *)g_ptr_array_index(world->backends,
							     i))
				->late_arrivals;
	world_note(world,
		   "%" G_GUINT64_FORMAT " requests from machines in touch "
		   "reached the evacuated zone later than %d ms after the "
		   "acknowledgement",
		   late_arrivals, EVACUATION_MS);
	return late_arrivals ? 1 : 0;
}

int main(int argc, char **argv)
{
	static const struct {
		const char *name;
		int (*play)(struct world *world);
	} cases[] = {
		{ "foreign", case_foreign },	 { "headers", case_headers },
		{ "forget", case_forget },	 { "extra", case_extra },
		{ "pages", case_pages },	 { "stop", case_stop },
		{ "overtaken", case_overtaken },
	};
	struct world *world;

	if (argc != 3) {
		fprintf(stderr, "usage: review-2 CASE RECORD\n");
		return 2;
	}
	world = world_new(argv[2]);
	for (guint i = 0; i < G_N_ELEMENTS(cases); i++)
		if (!strcmp(argv[1], cases[i].name))
			return world_end(world, cases[i].play(world));
	return world_end(world, 2);
}
