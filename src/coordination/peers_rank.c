/*
 * Ranking of the gateways as seen by this process: the order in which they
 * place for a service, and the store watchers of each zone.
 */
#include <auburnstile/internal/peers_internal.h>

#include <string.h>

/* Ranked like a service. Names of services contain no spaces. */
#define WATCH_ROLE "store watch"

/*
 * The store may refuse or not answer a part of the gateways. If a zone's only
 * watcher is among them, the zone sees changes late. With two per zone this is
 * rarer, and another one starts as soon as a watcher reports that it doesn't
 * reach the store.
 */
#define WATCHERS_PER_ZONE 2

bool aub_peer_is_in_own_zone(const struct aub_peers *peers,
			     const struct aub_peer *peer)
{
	return !strcmp(peer->zone, aub_peers_self(peers)->zone);
}

void aub_peers_invalidate_ranks(struct aub_peers *peers)
{
	g_hash_table_remove_all(peers->ranked);
	g_clear_pointer(&peers->watchers, g_ptr_array_unref);
}

void aub_peer_clear_rank_keys(struct aub_peer *peer)
{
	g_hash_table_remove_all(peer->rank_keys);
}

struct ranked_peer {
	guint64 key; /* hash of service and name */
	struct aub_peer *peer;
};

/* Returns the first bytes of a digest of service and name. */
static guint64 rank_hash(const char *service, const char *name)
{
	GChecksum *checksum = g_checksum_new(G_CHECKSUM_MD5);
	guint8 digest[16];
	gsize length = sizeof(digest);
	guint64 key;

	g_checksum_update(checksum, (const guchar *)service, -1);
	g_checksum_update(checksum, (const guchar *)" ", 1);
	g_checksum_update(checksum, (const guchar *)name, -1);
	g_checksum_get_digest(checksum, digest, &length);
	g_checksum_free(checksum);
	memcpy(&key, digest, sizeof(key));
	return GUINT64_FROM_BE(key);
}

/*
 * Any change of a peer ranks all peers anew. Without this cache a small VM
 * would spend all its CPU on hashes while a fleet starts, and answer no
 * placement requests. A peer's hash for a service is computed once.
 */
static guint64 rank_key(struct aub_peers *peers, struct aub_peer *peer,
			const char *service)
{
	guint64 *cached = g_hash_table_lookup(peer->rank_keys, service);

	if (cached)
		return *cached;
	cached = g_new(guint64, 1);
	*cached = rank_hash(service, peer->name);
	peers->rank_hashes_computed++;
	g_hash_table_insert(peer->rank_keys, g_strdup(service), cached);
	return *cached;
}

/* VMs of one class differ in capacity by less than a factor of two. */
static guint capacity_class(const struct aub_peer *peer)
{
	return g_bit_storage(peer->capacity);
}

/*
 * A placer that reaches no upstream can't probe: it sees neither which
 * upstreams are up nor how cold they are. Gateways without links rank last, but
 * as long as all are without links, one of them places.
 *
 * A placer that is partitioned from the store grants upstreams that are no
 * longer there, and each such grant has to be requested again. Gateways with
 * recent contact to the store therefore rank first.
 *
 * A small VM that places for a large service spends its CPU on probes and
 * requests, and the requests time out. VMs with more CPU therefore rank higher.
 */
static gint compare_ranked_peers(gconstpointer a, gconstpointer b)
{
	const struct ranked_peer *left = a;
	const struct ranked_peer *right = b;
	guint left_class = capacity_class(left->peer);
	guint right_class = capacity_class(right->peer);

	if (left->peer->egress_down != right->peer->egress_down)
		return left->peer->egress_down ? 1 : -1;
	if (left->peer->store_current != right->peer->store_current)
		return left->peer->store_current ? -1 : 1;
	if (left_class != right_class)
		return left_class > right_class ? -1 : 1;
	return left->key < right->key ? -1 : left->key > right->key;
}

static GPtrArray *rank(struct aub_peers *peers, const char *service)
{
	GArray *list = g_array_new(FALSE, FALSE, sizeof(struct ranked_peer));
	GPtrArray *result = g_ptr_array_new();

	for (guint i = 0; i < peers->all->len; i++) {
		struct aub_peer *peer = g_ptr_array_index(peers->all, i);
		struct ranked_peer ranked = { .peer = peer };

		if (!peer->alive || !peer->ready || peer->stopping)
			continue;
		ranked.key = rank_key(peers, peer, service);
		g_array_append_val(list, ranked);
	}
	g_array_sort(list, compare_ranked_peers);
	for (guint i = 0; i < list->len; i++)
		g_ptr_array_add(
			result,
			g_array_index(list, struct ranked_peer, i).peer);
	g_array_unref(list);
	return result;
}

const GPtrArray *aub_peers_ranked(struct aub_peers *peers, const char *service)
{
	GPtrArray *list = g_hash_table_lookup(peers->ranked, service);

	if (list)
		return list;
	list = rank(peers, service);
	g_hash_table_insert(peers->ranked, g_strdup(service), list);
	return list;
}

GPtrArray *aub_peers_top_of_each_zone(
	const GPtrArray *ranked, guint per_zone_max,
	bool (*is_eligible)(const struct aub_peer *peer))
{
	GHashTable *counts = g_hash_table_new(g_str_hash, g_str_equal);
	GPtrArray *selected = g_ptr_array_new();

	for (guint i = 0; i < ranked->len; i++) {
		struct aub_peer *peer = g_ptr_array_index(ranked, i);
		guint zone_count = GPOINTER_TO_UINT(
			g_hash_table_lookup(counts, peer->zone));

		if (zone_count >= per_zone_max ||
		    (is_eligible && !is_eligible(peer)))
			continue;
		g_hash_table_insert(counts, peer->zone,
				    GUINT_TO_POINTER(zone_count + 1));
		g_ptr_array_add(selected, peer);
	}
	g_hash_table_unref(counts);
	return selected;
}

static bool reaches_store(const struct aub_peer *peer)
{
	return peer->store_reachable;
}

/*
 * Returns the first peers of each zone that reach the store, which may include
 * this process.
 */
static GPtrArray *find_watchers(struct aub_peers *peers)
{
	return aub_peers_top_of_each_zone(aub_peers_ranked(peers, WATCH_ROLE),
					  WATCHERS_PER_ZONE, reaches_store);
}

static enum aub_watch_duty find_watch_duty(struct aub_peers *peers,
					   const GPtrArray *watchers)
{
	guint own_zone_watchers = 0;

	if (!aub_peers_self(peers)->store_reachable)
		return AUB_WATCH_PRIMARY; /* detects when the store is back */
	for (guint i = 0; i < watchers->len; i++) {
		const struct aub_peer *peer = g_ptr_array_index(watchers, i);

		if (peer->self)
			return own_zone_watchers ? AUB_WATCH_STANDBY :
						   AUB_WATCH_PRIMARY;
		own_zone_watchers += aub_peer_is_in_own_zone(peers, peer);
	}
	if (!own_zone_watchers)
		return AUB_WATCH_PRIMARY;
	return own_zone_watchers < WATCHERS_PER_ZONE ? AUB_WATCH_STANDBY :
						       AUB_WATCH_NONE;
}

static bool is_primary(const GPtrArray *watchers, guint index)
{
	const struct aub_peer *peer = g_ptr_array_index(watchers, index);

	for (guint i = 0; i < index; i++) {
		const struct aub_peer *earlier = g_ptr_array_index(watchers, i);

		if (!strcmp(earlier->zone, peer->zone))
			return false;
	}
	return true;
}

/*
 * A process that watches without being on the list counts as the last one of
 * its kind.
 */
static struct aub_watch_role find_watch_role(struct aub_peers *peers,
					     const GPtrArray *watchers)
{
	struct aub_watch_role role = {
		.duty = find_watch_duty(peers, watchers),
	};
	guint counts[] = {
		[AUB_WATCH_STANDBY] = 0,
		[AUB_WATCH_PRIMARY] = 0,
	};
	bool listed = false;

	for (guint i = 0; i < watchers->len; i++) {
		const struct aub_peer *peer = g_ptr_array_index(watchers, i);
		enum aub_watch_duty duty = is_primary(watchers, i) ?
						   AUB_WATCH_PRIMARY :
						   AUB_WATCH_STANDBY;

		if (peer->self) {
			listed = true;
			role.index = counts[duty];
		}
		counts[duty]++;
	}
	if (!listed && role.duty != AUB_WATCH_NONE)
		role.index = counts[role.duty]++;
	if (role.duty == AUB_WATCH_STANDBY)
		role.index += counts[AUB_WATCH_PRIMARY];
	role.primary_count = counts[AUB_WATCH_PRIMARY];
	role.count = role.primary_count + counts[AUB_WATCH_STANDBY];
	return role;
}

const GPtrArray *aub_peers_watchers(struct aub_peers *peers)
{
	if (!peers->watchers) {
		peers->watchers = find_watchers(peers);
		peers->watch_role = find_watch_role(peers, peers->watchers);
	}
	return peers->watchers;
}

struct aub_watch_role aub_peers_watch_role(struct aub_peers *peers)
{
	aub_peers_watchers(peers);
	return peers->watch_role;
}

bool aub_peers_self_is_watcher(struct aub_peers *peers)
{
	return aub_peers_watch_role(peers).duty != AUB_WATCH_NONE;
}
