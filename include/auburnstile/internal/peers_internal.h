/* Internals of the membership, shared by its source files. */
#ifndef AUBURNSTILE_INTERNAL_PEERS_INTERNAL_H
#define AUBURNSTILE_INTERNAL_PEERS_INTERNAL_H

#include <auburnstile/internal/peers.h>

G_BEGIN_DECLS

struct aub_peers {
	struct aub_peers_options options;
	int fd;
	struct aub_poll_watch *watch;
	guint timer;
	/* timer of the frequent heartbeats at the start; 0: they are over */
	guint start_timer;
	guint start_rounds_left; /* rounds of these heartbeats */
	GPtrArray *all; /* of struct aub_peer; the first is this process */
	/* address -> peer in `all`; keys are the peers' own */
	GHashTable *by_address;
	/* incarnation -> peer in `all`, once a heartbeat has arrived */
	GHashTable *by_incarnation;
	struct aub_heartbeat *heartbeat;
	guint round; /* number of heartbeat periods so far */
	/* current period of heartbeats to other zones */
	guint cross_zone_period_rounds;
	gint64 last_join_us; /* when a peer last appeared or became ready */
	gint64 last_introduction_us; /* when the last introduction arrived */
	GHashTable *ranked; /* service -> GPtrArray; cleared on changes */
	guint64 rank_hashes_computed; /* since the start */
	GPtrArray *watchers; /* cached; NULL after a change */
	struct aub_watch_role watch_role; /* valid while `watchers` is */
	struct aub_peers_counts counts;
};

/* The table owns its peers. Addresses are "ip:port". */
struct aub_peer *aub_peer_new(const char *address, gint64 now_us);
void aub_peer_free(void *data);
void aub_peers_table_add(struct aub_peers *peers, struct aub_peer *peer);
void aub_peers_table_remove(struct aub_peers *peers, guint index);
struct aub_peer *aub_peers_by_address(const struct aub_peers *peers,
				      const char *address);
void aub_peers_set_incarnation(struct aub_peers *peers, struct aub_peer *peer,
			       guint64 incarnation);

/* Sends the addresses of the other live peers to `to`, which knows none. */
void aub_peers_introduce(struct aub_peers *peers, const struct aub_peer *to);
/* Returns false if the message is malformed. */
bool aub_peers_apply_introduction(struct aub_peers *peers,
				  const struct aub_introduction *message);
/*
 * Returns the number of peers that are alive; shortly after an introduction,
 * the number of all peers known.
 */
guint aub_peers_count_known(const struct aub_peers *peers, gint64 now_us);

bool aub_peer_is_in_own_zone(const struct aub_peers *peers,
			     const struct aub_peer *peer);

/* Clears the cached hashes of a peer, which depend on its name. */
void aub_peer_clear_rank_keys(struct aub_peer *peer);

/*
 * Discards cached rankings after a change of liveness, readiness or store
 * contact.
 */
void aub_peers_invalidate_ranks(struct aub_peers *peers);

/* Returns the store watchers of all zones. Borrowed until a change. */
const GPtrArray *aub_peers_watchers(struct aub_peers *peers);

G_END_DECLS

#endif
