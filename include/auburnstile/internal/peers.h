/*
 * Membership of the gateways: discovery, failure detection and datagrams
 * between them.
 *
 * Each gateway sends heartbeats, several times a second within its zone and
 * less often to other zones. There is no consensus: each gateway has its own
 * view, and no invariant depends on two views being equal.
 */
#ifndef AUBURNSTILE_INTERNAL_PEERS_H
#define AUBURNSTILE_INTERNAL_PEERS_H

#include <auburnstile/internal/platform.h>
#include <auburnstile/internal/poller.h>
#include <auburnstile/message.h>
#include <auburnstile/timer.h>

#include <netinet/in.h>

G_BEGIN_DECLS

struct aub_peers;

struct aub_peer {
	char *name; /* "" until the first heartbeat arrives */
	char *zone;
	char *address; /* "ip:port" for datagrams */
	struct sockaddr_in socket_address; /* parsed `address`; port 0: none */
	char *callers_address;
	guint32 capacity; /* thousandths of a core */
	guint64 incarnation;
	gint64 last_heartbeat_us; /* time of arrival; 0: never */
	gint64 added_us; /* when it was added to the table */
	gint64 suspected_until_us; /* did not answer: skipped until then */
	/* length of the last suspicion; 0: it has answered since */
	gint64 suspicion_us;
	/* service or watch role -> guint64, cache of hashes */
	GHashTable *rank_keys;
	bool ready;
	bool stopping;
	bool store_current; /* the store was reachable recently */
	bool store_reachable; /* the store is reachable now */
	bool egress_down; /* it reaches no upstream itself */
	/* requests that it should have relayed failed: none until then */
	gint64 relay_failed_until_us;
	/* upstream -> gint64 *: it doesn't reach it either, until then */
	GHashTable *no_path_until_us;
	bool alive; /* heartbeats arrive in time */
	bool self; /* it is this process */
};

struct aub_peers_options {
	const char *name;
	const char *zone;
	const char *address;
	const char *callers_address;
	guint32 capacity; /* CPU of this VM, in thousandths of a core */
	guint64 incarnation;
	struct aub_poller *poller;
	struct aub_timer_service *timers;
	/*
	 * Called for a message other than a heartbeat, which the callee owns.
	 */
	void (*on_message)(struct aub_message *message, void *context);
	/* Called when a peer announces a change of `kind` at `revision`. */
	void (*on_revision)(enum aub_store_kind kind, gint64 revision,
			    void *context);
	/*
	 * Called when the process `incarnation` is dead, restarted or
	 * unresponsive.
	 */
	void (*on_lost)(guint64 incarnation, void *context);
	void *context;
};

/* Returns NULL and sets an error if the address can't be bound. */
struct aub_peers *aub_peers_new(const struct aub_peers_options *options,
				GError **error);
void aub_peers_free(struct aub_peers *peers);

/* Adds a possible gateway at `address`, which gets heartbeats from now on. */
void aub_peers_add(struct aub_peers *peers, const char *address);

/* The state that this process publishes in its heartbeats. */
struct aub_peers_self_state {
	bool ready;
	bool stopping;
	/* the store was reachable recently: the process may place for others */
	bool store_current;
	/* the store is reachable now: the process may watch it for others */
	bool store_reachable;
	/* it reaches no upstream: it should not place for others */
	bool egress_down;
	gint64 config_version;
	/* store revision of the last known change, by kind */
	gint64 revisions[AUB_STORE_KINDS];
};
void aub_peers_publish_state(struct aub_peers *peers,
			     const struct aub_peers_self_state *state);

/* Returns all peers (struct aub_peer), this process first. Borrowed. */
const GPtrArray *aub_peers_all(const struct aub_peers *peers);
/* Returns when a peer last appeared or became ready. */
gint64 aub_peers_last_join_us(const struct aub_peers *peers);
/* Returns the number of live peers, excluding this process. */
guint aub_peers_count_alive(const struct aub_peers *peers);
struct aub_peer *aub_peers_self(const struct aub_peers *peers);

/*
 * Returns the gateways that may place for `service`, in order of preference.
 * These are alive and ready; the order is by links to the upstreams, then by
 * recent contact with the store, then by CPU capacity, then by a hash of both
 * names. Borrowed; valid until the liveness or readiness of a peer changes.
 */
const GPtrArray *aub_peers_ranked(struct aub_peers *peers, const char *service);
/*
 * Returns the first `per_zone_max` peers of each zone in `ranked`, in its
 * order. Peers that `is_eligible` rejects are skipped; NULL accepts all. The
 * caller frees the array; the peers are borrowed.
 */
GPtrArray *aub_peers_top_of_each_zone(
	const GPtrArray *ranked, guint per_zone_max,
	bool (*is_eligible)(const struct aub_peer *peer));

/*
 * Returns whether `peer` serves callers, by its heartbeats: the last one is
 * recent, and it is ready and does not stop.
 */
bool aub_peer_is_serving(const struct aub_peer *peer, gint64 now_us);

/*
 * Returns a gateway that can send a request to `upstream` for this one, which
 * has lost its own links; NULL if there is none. Consecutive values of `turn`
 * spread the requests. Borrowed.
 */
struct aub_peer *aub_peers_pick_relay(const struct aub_peers *peers,
				      const char *upstream, guint turn,
				      gint64 now_us);
/* Records that `peer` could not be reached for that purpose. */
void aub_peer_set_relay_failed(struct aub_peer *peer, gint64 now_us);
/* Records that `peer` does not reach `upstream` either. */
void aub_peer_set_no_path(struct aub_peer *peer, const char *upstream,
			  gint64 now_us);

/*
 * Returns whether this process is one of the store watchers of its zone. The
 * others learn of changes from the watchers' heartbeats.
 */
bool aub_peers_self_is_watcher(struct aub_peers *peers);
/*
 * Returns whether this process watches the store: as the primary, or as a
 * standby if another watcher of its zone ranks before it; and its position
 * among the watchers of all zones.
 */
struct aub_watch_role aub_peers_watch_role(struct aub_peers *peers);

/*
 * Datagrams sent since the start. Those between zones are counted apart, since
 * that traffic is expensive.
 */
struct aub_peers_counts {
	guint64 own_zone_datagrams;
	guint64 own_zone_bytes;
	guint64 cross_zone_datagrams; /* to other zones */
	guint64 cross_zone_bytes;
	guint64 introductions; /* of these: to peers that knew no others */
	guint64 rejected_datagrams; /* received, malformed */
};
const struct aub_peers_counts *aub_peers_get_counts(
	const struct aub_peers *peers);

/* Returns NULL if no heartbeat of that incarnation has arrived. Borrowed. */
struct aub_peer *aub_peers_by_incarnation(const struct aub_peers *peers,
					  guint64 incarnation);

/* Sends one datagram; a loss is not reported. */
void aub_peers_send(struct aub_peers *peers, const struct aub_peer *to,
		    const struct aub_message *message);
/* Send a message to all live peers of this process's zone, or to all. */
void aub_peers_send_to_zone(struct aub_peers *peers,
			    const struct aub_message *message);
void aub_peers_send_to_all(struct aub_peers *peers,
			   const struct aub_message *message);

G_END_DECLS

#endif
