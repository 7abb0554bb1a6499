/* Membership by heartbeats over UDP. */
#include <auburnstile/error.h>
#include <auburnstile/internal/decision_log.h>
#include <auburnstile/internal/peers_internal.h>
#include <auburnstile/internal/tcp.h>

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * Four heartbeats per second are sent within a zone and at most one to other
 * zones, since traffic between zones is expensive and grows with the square of
 * the number of gateways. Three losses in a row are rarer than a dead peer even
 * with 3% packet loss. A dead placer in another zone is suspected long before
 * its heartbeats are missed.
 */
#define HEARTBEAT_PERIOD_US (250 * AUB_MS)
#define OWN_ZONE_DEAD_AFTER_US (1000 * AUB_MS)
#define START_HEARTBEAT_PERIOD_US (50 * AUB_MS)
#define START_HEARTBEAT_ROUNDS 6

/*
 * Period of heartbeats to other zones, in rounds. It grows with the number of
 * gateways, since this traffic grows with its square. Nothing depends on their
 * being frequent: a dead placer is detected by the gateways that send it
 * requests.
 */
#define CROSS_ZONE_PERIOD_MIN_ROUNDS 4
#define CROSS_ZONE_PEERS_PER_ROUND 4
/* missed periods after which a peer is considered dead */
#define CROSS_ZONE_DEAD_AFTER_PERIODS 3.2
/* After this an unresponsive peer gets every tenth heartbeat only. */
#define UNRESPONSIVE_AFTER_US (15 * AUB_SECOND)
#define UNRESPONSIVE_PERIOD_ROUNDS 10
/* time without a heartbeat; long after callers have dropped the address */
#define REMOVE_AFTER_US (300 * AUB_SECOND)

/* A list of upstreams takes about 100 bytes per upstream. */
#define DATAGRAM_MAX_BYTES 60000
#define DATAGRAMS_PER_WAKEUP 64

static void log_peer(enum aub_log_event event, const struct aub_peer *peer,
		     gint64 age_us)
{
	aub_log_begin(event);
	aub_log_text("peer", peer->name);
	aub_log_text("zone", peer->zone);
	aub_log_number("heard_ms", age_us / AUB_MS);
	aub_log_end();
}

static void mark_lost(struct aub_peers *peers, struct aub_peer *peer,
		      gint64 now_us)
{
	peer->alive = false;
	aub_peers_invalidate_ranks(peers);
	log_peer(AUB_LOG_PEER_LOST, peer, now_us - peer->last_heartbeat_us);
	peers->options.on_lost(peer->incarnation, peers->options.context);
}

/* Requests a reply from a peer that is not known to be alive. */
static void send_heartbeat(struct aub_peers *peers, const struct aub_peer *to)
{
	peers->heartbeat->reply_requested = !to->alive;
	aub_peers_send(peers, to, &peers->heartbeat->base);
}

/*
 * Members are not announced by revision, since heartbeats themselves make the
 * members known.
 */
G_STATIC_ASSERT(AUB_HEARTBEAT_REVISION_COUNT == AUB_STORE_MEMBERS);

static void announce_revisions(struct aub_peers *peers,
			       const struct aub_heartbeat *heartbeat)
{
	const struct aub_peers_options *options = &peers->options;

	for (guint i = 0; i < AUB_HEARTBEAT_REVISION_COUNT; i++)
		options->on_revision((enum aub_store_kind)i,
				     (gint64)heartbeat->revisions[i],
				     options->context);
}

static void handle_heartbeat(struct aub_peers *peers,
			     const struct aub_heartbeat *heartbeat)
{
	gint64 now = aub_timer_now(peers->options.timers);
	struct aub_peer *peer = aub_peers_by_address(peers, heartbeat->address);
	bool state_changed;

	if (!peer) {
		peer = aub_peer_new(heartbeat->address, now);
		aub_peers_table_add(peers, peer);
	}
	if (peer->self)
		return;
	/* A datagram of an earlier incarnation may arrive late. */
	if (heartbeat->incarnation < peer->incarnation)
		return;
	if (peer->alive && peer->incarnation != heartbeat->incarnation)
		mark_lost(peers, peer, now);
	state_changed = !peer->alive || peer->ready != heartbeat->ready ||
			peer->stopping != heartbeat->stopping ||
			peer->store_current != heartbeat->store_current ||
			peer->store_reachable != heartbeat->store_reachable ||
			peer->egress_down != heartbeat->egress_down;
	if (!peer->alive || (heartbeat->ready && !peer->ready))
		peers->last_join_us = now;
	if (strcmp(peer->name, heartbeat->name) != 0)
		aub_peer_clear_rank_keys(peer);
	aub_string_set(&peer->name, heartbeat->name);
	aub_string_set(&peer->zone, heartbeat->zone);
	aub_string_set(&peer->callers_address, heartbeat->callers_address);
	peer->capacity = heartbeat->capacity;
	aub_peers_set_incarnation(peers, peer, heartbeat->incarnation);
	peer->ready = heartbeat->ready;
	peer->stopping = heartbeat->stopping;
	peer->store_current = heartbeat->store_current;
	peer->store_reachable = heartbeat->store_reachable;
	peer->egress_down = heartbeat->egress_down;
	peer->last_heartbeat_us = now;
	announce_revisions(peers, heartbeat);
	if (state_changed) {
		bool appeared = !peer->alive;

		peer->alive = true;
		aub_peers_invalidate_ranks(peers);
		if (appeared)
			log_peer(AUB_LOG_PEER_ALIVE, peer, 0);
		if (appeared && !heartbeat->peers)
			aub_peers_introduce(peers, peer);
	}
	/*
	 * The reply to a first heartbeat may be lost, and its sender would not
	 * know of this gateway until the next round between zones. It therefore
	 * requests a reply in each round until it gets one.
	 */
	if (heartbeat->reply_requested)
		send_heartbeat(peers, peer);
}

static void reject_datagram(struct aub_peers *peers,
			    const struct sockaddr_in *from, const char *reason)
{
	char host[INET_ADDRSTRLEN];

	peers->counts.rejected_datagrams++;
	inet_ntop(AF_INET, &from->sin_addr, host, sizeof(host));
	aub_log_begin(AUB_LOG_DATAGRAM_REFUSED);
	aub_log_text("from", host);
	aub_log_text("error", reason);
	aub_log_end();
}

static void handle_datagram(struct aub_peers *peers, const void *data,
			    gsize length, const struct sockaddr_in *from)
{
	GError *error = NULL;
	struct aub_message *message =
		aub_message_decode(data, length, "datagram", &error);

	if (!message) {
		reject_datagram(peers, from, error->message);
		g_error_free(error);
		return;
	}
	if (message->type == AUB_MESSAGE_HEARTBEAT) {
		handle_heartbeat(peers, (struct aub_heartbeat *)message);
		aub_message_free(message);
		return;
	}
	if (message->type == AUB_MESSAGE_INTRODUCTION) {
		if (!aub_peers_apply_introduction(
			    peers, (struct aub_introduction *)message))
			reject_datagram(
				peers, from,
				"introduction: addresses: truncated address");
		aub_message_free(message);
		return;
	}
	peers->options.on_message(message, peers->options.context);
}

static void on_readable(void *context, guint events)
{
	struct aub_peers *peers = context;
	char data[DATAGRAM_MAX_BYTES];

	for (guint i = 0; i < DATAGRAMS_PER_WAKEUP; i++) {
		struct sockaddr_in from = { 0 };
		socklen_t from_length = sizeof(from);
		ssize_t received =
			recvfrom(peers->fd, data, sizeof(data), 0,
				 (struct sockaddr *)&from, &from_length);

		if (received < 0)
			return;
		handle_datagram(peers, data, (gsize)received, &from);
	}
}

static void send_to(struct aub_peers *peers, const struct aub_peer *to,
		    GBytes *bytes)
{
	struct aub_peers_counts *counts = &peers->counts;
	gsize length;
	const void *data = g_bytes_get_data(bytes, &length);

	if (!to->socket_address.sin_port)
		return;
	if (aub_peer_is_in_own_zone(peers, to)) {
		counts->own_zone_datagrams++;
		counts->own_zone_bytes += length;
	} else {
		counts->cross_zone_datagrams++;
		counts->cross_zone_bytes += length;
	}
	/* A datagram that can't be sent counts as lost. */
	(void)sendto(peers->fd, data, length, MSG_NOSIGNAL,
		     (const struct sockaddr *)&to->socket_address,
		     sizeof(to->socket_address));
}

void aub_peers_send(struct aub_peers *peers, const struct aub_peer *to,
		    const struct aub_message *message)
{
	GBytes *bytes = aub_message_encode(message, NULL);

	if (!bytes)
		return;
	send_to(peers, to, bytes);
	g_bytes_unref(bytes);
}

static void send_alive(struct aub_peers *peers, const char *zone,
		       const struct aub_message *message)
{
	GBytes *bytes = aub_message_encode(message, NULL);

	for (guint i = 1; bytes && i < peers->all->len; i++) {
		struct aub_peer *peer = g_ptr_array_index(peers->all, i);

		if (peer->alive && (!zone || !strcmp(zone, peer->zone)))
			send_to(peers, peer, bytes);
	}
	if (bytes)
		g_bytes_unref(bytes);
}

void aub_peers_send_to_zone(struct aub_peers *peers,
			    const struct aub_message *message)
{
	send_alive(peers, aub_peers_self(peers)->zone, message);
}

void aub_peers_send_to_all(struct aub_peers *peers,
			   const struct aub_message *message)
{
	send_alive(peers, NULL, message);
}

gint64 aub_peers_last_join_us(const struct aub_peers *peers)
{
	return peers->last_join_us;
}

static guint cross_zone_period_rounds(const struct aub_peers *peers)
{
	guint cross_zone_peers = 0;

	for (guint i = 1; i < peers->all->len; i++)
		cross_zone_peers += !aub_peer_is_in_own_zone(
			peers, g_ptr_array_index(peers->all, i));
	return MAX(CROSS_ZONE_PERIOD_MIN_ROUNDS,
		   cross_zone_peers / CROSS_ZONE_PEERS_PER_ROUND);
}

/* Returns the time without a heartbeat after which `peer` is dead. */
static gint64 dead_after_us(const struct aub_peers *peers,
			    const struct aub_peer *peer)
{
	if (aub_peer_is_in_own_zone(peers, peer))
		return OWN_ZONE_DEAD_AFTER_US;
	return (gint64)(CROSS_ZONE_DEAD_AFTER_PERIODS *
			peers->cross_zone_period_rounds) *
	       HEARTBEAT_PERIOD_US;
}

static bool is_heartbeat_due(const struct aub_peers *peers,
			     const struct aub_peer *peer, bool all,
			     gint64 now_us)
{
	gint64 last_seen_us = MAX(peer->last_heartbeat_us, peer->added_us);

	if (now_us - last_seen_us >= UNRESPONSIVE_AFTER_US)
		return peers->round % UNRESPONSIVE_PERIOD_ROUNDS == 0;
	return all || !peer->last_heartbeat_us ||
	       aub_peer_is_in_own_zone(peers, peer) ||
	       peers->round % peers->cross_zone_period_rounds == 0;
}

static GBytes *encode_heartbeat(struct aub_peers *peers, bool reply)
{
	peers->heartbeat->reply_requested = reply;
	return aub_message_encode(&peers->heartbeat->base, NULL);
}

/*
 * Sends heartbeats to the peers that are due; with `all`, after a change, to
 * all peers except unresponsive ones.
 */
static void send_heartbeats(struct aub_peers *peers, bool all, gint64 now_us)
{
	peers->heartbeat->peers = aub_peers_count_known(peers, now_us);

	GBytes *with_reply = encode_heartbeat(peers, true);
	GBytes *without_reply = encode_heartbeat(peers, false);

	for (guint i = 1; with_reply && without_reply && i < peers->all->len;
	     i++) {
		struct aub_peer *peer = g_ptr_array_index(peers->all, i);

		if (is_heartbeat_due(peers, peer, all, now_us))
			send_to(peers, peer,
				peer->alive ? without_reply : with_reply);
	}
	g_bytes_unref(with_reply);
	g_bytes_unref(without_reply);
}

static void on_round(void *context, gint64 now_us)
{
	struct aub_peers *peers = context;
	guint i = 1;

	peers->round++;
	peers->cross_zone_period_rounds = cross_zone_period_rounds(peers);
	while (i < peers->all->len) {
		struct aub_peer *peer = g_ptr_array_index(peers->all, i);

		if (peer->alive && now_us - peer->last_heartbeat_us >
					   dead_after_us(peers, peer))
			mark_lost(peers, peer, now_us);
		if (now_us - MAX(peer->last_heartbeat_us, peer->added_us) >
		    REMOVE_AFTER_US)
			aub_peers_table_remove(peers, i);
		else
			i++;
	}
	send_heartbeats(peers, false, now_us);
}

/*
 * After a power failure all gateways start within 0.3 s, and the first ones
 * find their seeds not up yet. If they waited for the next round of heartbeats,
 * callers would wait for a quarter of a second more. Until a starting gateway
 * has received a heartbeat, it sends five times as many; a gateway that answers
 * introduces it to the others.
 */
static void on_start_round(void *context, gint64 now_us)
{
	struct aub_peers *peers = context;

	if (aub_peers_count_alive(peers) || !--peers->start_rounds_left) {
		aub_timer_cancel(peers->options.timers, peers->start_timer);
		peers->start_timer = 0;
		return;
	}
	for (guint i = 1; i < peers->all->len; i++)
		send_heartbeat(peers, g_ptr_array_index(peers->all, i));
}

static void add_self(struct aub_peers *peers)
{
	const struct aub_peers_options *options = &peers->options;
	struct aub_peer *self =
		aub_peer_new(options->address, aub_timer_now(options->timers));

	aub_string_set(&self->name, options->name);
	aub_string_set(&self->zone, options->zone);
	aub_string_set(&self->callers_address, options->callers_address);
	self->capacity = options->capacity;
	self->incarnation = options->incarnation;
	self->alive = true;
	self->self = true;
	aub_peers_table_add(peers, self);
	peers->heartbeat =
		(struct aub_heartbeat *)aub_message_new(AUB_MESSAGE_HEARTBEAT);
	aub_string_set(&peers->heartbeat->name, options->name);
	aub_string_set(&peers->heartbeat->zone, options->zone);
	aub_string_set(&peers->heartbeat->address, options->address);
	aub_string_set(&peers->heartbeat->callers_address,
		       options->callers_address);
	peers->heartbeat->capacity = options->capacity;
	peers->heartbeat->incarnation = options->incarnation;
}

struct aub_peers *aub_peers_new(const struct aub_peers_options *options,
				GError **error)
{
	int fd = aub_udp_bind(options->address, error);
	struct aub_peers *peers;

	if (fd < 0)
		return NULL;
	peers = g_new0(struct aub_peers, 1);
	peers->options = *options;
	peers->fd = fd;
	peers->cross_zone_period_rounds = CROSS_ZONE_PERIOD_MIN_ROUNDS;
	peers->all = g_ptr_array_new_with_free_func(aub_peer_free);
	peers->by_address = g_hash_table_new(g_str_hash, g_str_equal);
	peers->by_incarnation = g_hash_table_new(g_int64_hash, g_int64_equal);
	peers->ranked =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				      (GDestroyNotify)g_ptr_array_unref);
	add_self(peers);
	peers->watch = aub_poller_add(options->poller, fd, EPOLLIN, on_readable,
				      peers);
	peers->timer = aub_timer_every(options->timers, "heartbeats",
				       HEARTBEAT_PERIOD_US, on_round, peers);
	peers->start_rounds_left = START_HEARTBEAT_ROUNDS;
	peers->start_timer = aub_timer_every(options->timers, "start",
					     START_HEARTBEAT_PERIOD_US,
					     on_start_round, peers);
	return peers;
}

void aub_peers_free(struct aub_peers *peers)
{
	if (!peers)
		return;
	aub_timer_cancel(peers->options.timers, peers->timer);
	aub_timer_cancel(peers->options.timers, peers->start_timer);
	aub_poll_watch_remove(peers->watch);
	close(peers->fd);
	aub_message_free(&peers->heartbeat->base);
	g_hash_table_unref(peers->ranked);
	g_clear_pointer(&peers->watchers, g_ptr_array_unref);
	g_hash_table_unref(peers->by_address);
	g_hash_table_unref(peers->by_incarnation);
	g_ptr_array_unref(peers->all);
	g_free(peers);
}

void aub_peers_add(struct aub_peers *peers, const char *address)
{
	struct aub_peer *peer;

	if (aub_peers_by_address(peers, address))
		return;
	peer = aub_peer_new(address, aub_timer_now(peers->options.timers));
	aub_peers_table_add(peers, peer);
	send_heartbeat(peers, peer);
}

/*
 * If each gateway notified all others of each change, a change would cost the
 * square of the fleet's size in datagrams between zones. Watchers therefore
 * notify their own zone and the watchers of other zones. The rest learn of it
 * from these, or from the next heartbeat of their zone.
 */
static void notify_zone_and_watchers(struct aub_peers *peers)
{
	const GPtrArray *watchers = aub_peers_watchers(peers);

	peers->heartbeat->reply_requested = false;
	aub_peers_send_to_zone(peers, &peers->heartbeat->base);
	for (guint i = 0; i < watchers->len; i++) {
		const struct aub_peer *peer = g_ptr_array_index(watchers, i);

		if (!aub_peer_is_in_own_zone(peers, peer))
			send_heartbeat(peers, peer);
	}
}

/* Returns whether a revision has changed. */
static bool set_revisions(struct aub_heartbeat *heartbeat,
			  const struct aub_peers_self_state *state)
{
	bool changed = false;

	for (guint i = 0; i < AUB_HEARTBEAT_REVISION_COUNT; i++) {
		guint64 revision = (guint64)state->revisions[i];

		changed = changed || heartbeat->revisions[i] != revision;
		heartbeat->revisions[i] = revision;
	}
	return changed;
}

void aub_peers_publish_state(struct aub_peers *peers,
			     const struct aub_peers_self_state *state)
{
	struct aub_peer *self = aub_peers_self(peers);
	bool role_changed = self->ready != state->ready ||
			    self->stopping != state->stopping ||
			    self->store_current != state->store_current ||
			    self->egress_down != state->egress_down;
	bool reachability_changed =
		self->store_reachable != state->store_reachable;
	bool changed = set_revisions(peers->heartbeat, state);

	self->ready = state->ready;
	self->stopping = state->stopping;
	self->store_current = state->store_current;
	self->store_reachable = state->store_reachable;
	self->egress_down = state->egress_down;
	peers->heartbeat->ready = state->ready;
	peers->heartbeat->stopping = state->stopping;
	peers->heartbeat->store_current = state->store_current;
	peers->heartbeat->store_reachable = state->store_reachable;
	peers->heartbeat->egress_down = state->egress_down;
	peers->heartbeat->config_version = (guint64)state->config_version;
	if (role_changed || reachability_changed)
		aub_peers_invalidate_ranks(peers);
	if (role_changed)
		send_heartbeats(peers, true,
				aub_timer_now(peers->options.timers));
	else if (reachability_changed ||
		 (changed && aub_peers_self_is_watcher(peers)))
		notify_zone_and_watchers(peers);
}

const struct aub_peers_counts *aub_peers_get_counts(
	const struct aub_peers *peers)
{
	return &peers->counts;
}

const GPtrArray *aub_peers_all(const struct aub_peers *peers)
{
	return peers->all;
}

struct aub_peer *aub_peers_self(const struct aub_peers *peers)
{
	return g_ptr_array_index(peers->all, 0);
}
