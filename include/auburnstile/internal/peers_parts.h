/*
 * The inside of the membership, shared by its files.
 */
#ifndef AUBURNSTILE_INTERNAL_PEERS_PARTS_H
#define AUBURNSTILE_INTERNAL_PEERS_PARTS_H

#include <auburnstile/internal/peers.h>

G_BEGIN_DECLS

struct aub_peers {
	struct aub_peers_options options;
	int fd;
	struct aub_poll_watch *watch;
	guint timer;
	guint start_timer; /* 0: it has started */
	guint start_rounds_left; /* left */
	GPtrArray *all; /* of struct aub_peer; the first is this process */
	GHashTable *by_address; /* of `all`; keys are the peers' own */
	GHashTable *by_incarnation; /* the same, of those ever heard */
	struct aub_heartbeat *heartbeat;
	guint round;
	guint cross_zone_period_rounds; /* as of this round */
	gint64 last_join_us; /* when a peer last appeared or became ready */
	gint64 last_introduction_us; /* when it was last told where others are
				      */
	GHashTable *ranked; /* service -> GPtrArray; empty after a change */
	guint64 rank_hashes_computed; /* computed since the start */
	GPtrArray *watchers; /* as seen from here; NULL after a change */
	struct aub_peers_counts counts;
};

/* The table. Addresses are "ip:port"; the table owns its peers. */
struct aub_peer *aub_peer_new(const char *address, gint64 now_us);
void aub_peer_free(void *data);
void aub_peers_table_add(struct aub_peers *peers, struct aub_peer *peer);
void aub_peers_table_remove(struct aub_peers *peers, guint index);
struct aub_peer *aub_peers_by_address(const struct aub_peers *peers,
				      const char *address);
void aub_peers_set_incarnation(struct aub_peers *peers, struct aub_peer *peer,
			       guint64 incarnation);

/* Tell `to`, which knows nobody else, where the others are. */
void aub_peers_introduce(struct aub_peers *peers, const struct aub_peer *to);
/* False where it makes no sense. */
bool aub_peers_apply_introduction(struct aub_peers *peers,
				  const struct aub_introduction *message);
/* Others that are alive, or that this process was just told of. */
guint aub_peers_count_known(const struct aub_peers *peers, gint64 now_us);

bool aub_peer_is_in_own_zone(const struct aub_peers *peers,
			     const struct aub_peer *peer);

/* A peer's hashes for ranking hold its name: forget them when it changes. */
void aub_peer_clear_rank_keys(struct aub_peer *peer);

/* Who is alive, ready or hears the store has changed: rank anew. */
void aub_peers_invalidate_ranks(struct aub_peers *peers);

/* Those that watch the store, of all zones; borrowed until a change. */
const GPtrArray *aub_peers_watchers(struct aub_peers *peers);

G_END_DECLS

#endif
