/*
 * The other gateways: who they are, who is alive, and datagrams to them.
 *
 * Each gateway sends heartbeats: several times a second to those of its zone,
 * less often to the others. There is no agreement: each has its own view, and
 * nothing that must hold rests on two views being alike.
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
	char *name; /* "" until it was heard */
	char *zone;
	char *address; /* "ip:port" of its datagrams */
	struct sockaddr_in socket_address; /* the same; port 0: no address */
	char *callers_address;
	guint32 capacity; /* thousandths of a core */
	guint64 incarnation;
	gint64 last_heartbeat_us; /* 0: never */
	gint64 added_us; /* since when it is listed here */
	gint64 suspected_until_us; /* did not answer: not asked until then */
	gint64 suspicion_us; /* how long the last suspicion held; 0: it answers
			      */
	GHashTable *rank_keys; /* role -> guint64, as far as it was ranked */
	bool ready;
	bool stopping;
	bool store_current; /* has not been without the store for long */
	bool store_reachable; /* the store answers it at this moment */
	bool alive; /* heard lately */
	bool self;
};

struct aub_peers_options {
	const char *name;
	const char *zone;
	const char *address;
	const char *callers_address;
	guint32 capacity; /* of this VM's processor, thousandths of a core */
	guint64 incarnation;
	struct aub_poller *poller;
	struct aub_timer_service *timers;
	/* A message other than a heartbeat; owned by the callee. */
	void (*on_message)(struct aub_message *message, void *context);
	/* A peer knows of a change of `kind` at `revision`. */
	void (*on_revision)(enum aub_store_kind kind, gint64 revision,
			    void *context);
	/* `incarnation` is gone: dead, restarted or silent. */
	void (*on_lost)(guint64 incarnation, void *context);
	void *context;
};

struct aub_peers *aub_peers_new(const struct aub_peers_options *options,
				GError **error);
void aub_peers_free(struct aub_peers *peers);

/* There may be a gateway at `address`; it gets heartbeats from now on. */
void aub_peers_add(struct aub_peers *peers, const char *address);

/* What the own heartbeats say. */
struct aub_peers_self_state {
	bool ready;
	bool stopping;
	bool store_current; /* not without the store for long: may place for
			       others */
	bool store_reachable; /* the store answers this process: may watch for
				 others */
	gint64 config_version;
	/* Revision of the store at the last change known, by kind. */
	gint64 revisions[AUB_STORE_KINDS];
};
void aub_peers_publish_state(struct aub_peers *peers,
			     const struct aub_peers_self_state *state);

/* Every peer, this process first; of struct aub_peer, borrowed. */
const GPtrArray *aub_peers_all(const struct aub_peers *peers);
/* When a peer last appeared or became ready. */
gint64 aub_peers_last_join_us(const struct aub_peers *peers);
/* Peers alive, this process not counted. */
guint aub_peers_count_alive(const struct aub_peers *peers);
struct aub_peer *aub_peers_self(const struct aub_peers *peers);

/*
 * The gateways that may place for `service`, most preferred first: alive,
 * ready, those that hear from the store first, then those with the most
 * processor, by a hash of both names. Borrowed until who is alive or ready
 * changes.
 */
const GPtrArray *aub_peers_ranked(struct aub_peers *peers, const char *service);
/*
 * The first `most` of each zone among `ranked`, in its order; only those that
 * `is_fit` takes, or all where it is NULL. Owned by the caller, its peers are
 * not.
 */
GPtrArray *aub_peers_top_of_each_zone(
	const GPtrArray *ranked, guint per_zone_max,
	bool (*is_eligible)(const struct aub_peer *peer));

/*
 * Is this process one of those of its zone that watch the store? The others
 * learn from its heartbeats that something has changed.
 */
bool aub_peers_self_is_watcher(struct aub_peers *peers);
/* ... and does another one of its zone do so before it? */
enum aub_watch_duty aub_peers_watch_duty(struct aub_peers *peers);

/* Datagrams sent since the start; those between zones are dear. */
struct aub_peers_counts {
	guint64 own_zone_datagrams;
	guint64 own_zone_bytes;
	guint64 cross_zone_datagrams; /* to other zones */
	guint64 cross_zone_bytes;
	guint64 introductions; /* of these: to others that knew nobody */
	guint64 rejected_datagrams; /* received ones that made no sense */
};
const struct aub_peers_counts *aub_peers_get_counts(
	const struct aub_peers *peers);

struct aub_peer *aub_peers_by_incarnation(const struct aub_peers *peers,
					  guint64 incarnation);

/* Send one datagram; lost ones are not told. */
void aub_peers_send(struct aub_peers *peers, const struct aub_peer *to,
		    const struct aub_message *message);
/* To all that are alive, or to those of this process's zone. */
void aub_peers_send_to_zone(struct aub_peers *peers,
			    const struct aub_message *message);
void aub_peers_send_to_all(struct aub_peers *peers,
			   const struct aub_message *message);

G_END_DECLS

#endif
