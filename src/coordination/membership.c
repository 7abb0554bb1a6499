/*
 * Members of the fleet as known to one control.
 *
 * Invariants:
 *
 *   - a record is only replaced by one of a newer process or with a higher
 *     revision;
 *   - only a member itself changes its record, others relay it;
 *   - each control decides from ages which members are dead, and does not relay
 *     that decision;
 *   - a proof of life is relayed as an age that only grows.
 *
 * membership_notes.txt gives the resulting bandwidth.
 */
#include <auburnstile/internal/membership_table.h>

#include <string.h>

/* Every 6th peer is a dead member or a seed. */
#define LOST_PEER_PICK_PERIOD 6

static void record_free(void *data)
{
	struct aubi_member_record *record = data;

	aub_member_free(record->member);
	g_free(record->key);
	g_free(record);
}

#define HASH_STEP G_GUINT64_CONSTANT(0x9e3779b97f4a7c15)

/* The mixing function of SplitMix64. */
static guint64 mix(guint64 x)
{
	x ^= x >> 30;
	x *= G_GUINT64_CONSTANT(0xbf58476d1ce4e5b9);
	x ^= x >> 27;
	x *= G_GUINT64_CONSTANT(0x94d049bb133111eb);
	return x ^ (x >> 31);
}

static guint32 record_tag(const struct aubi_member_record *record)
{
	guint64 x = mix(g_str_hash(record->key) + HASH_STEP);

	x = mix((x ^ record->member->control_incarnation) + HASH_STEP);
	return (guint32)mix((x ^ record->member->revision) + HASH_STEP);
}

void aubi_membership_rehash(struct aubi_membership *membership)
{
	guint64 roster = 0;
	guint i;

	for (i = 0; i < membership->records->len; i++) {
		struct aubi_member_record *record =
			membership->records->pdata[i];

		record->tag = record_tag(record);
		roster += mix(record->tag);
	}
	membership->roster = roster;
}

struct aubi_member_record *aubi_membership_find(
	const struct aubi_membership *membership, const char *key)
{
	guint low = 0;
	guint high = membership->records->len;

	while (low < high) {
		guint middle = (low + high) / 2;
		struct aubi_member_record *record =
			membership->records->pdata[middle];
		int order = strcmp(key, record->key);

		if (!order)
			return record;
		if (order < 0)
			high = middle;
		else
			low = middle + 1;
	}
	return NULL;
}

static int by_key(const void *a, const void *b)
{
	const struct aubi_member_record *left =
		*(struct aubi_member_record *const *)a;
	const struct aubi_member_record *right =
		*(struct aubi_member_record *const *)b;

	return strcmp(left->key, right->key);
}

struct aubi_member_record *aubi_membership_insert(
	struct aubi_membership *membership, char *key,
	const struct aub_member *member)
{
	struct aubi_member_record *record =
		g_new0(struct aubi_member_record, 1);

	record->member = aub_member_copy(member);
	record->key = key;
	g_ptr_array_add(membership->records, record);
	g_ptr_array_sort(membership->records, by_key);
	return record;
}

static bool is_stopped_incarnation(const struct aubi_member_record *record)
{
	return strchr(record->key, '#') != NULL;
}

static bool is_counted(const struct aubi_member_record *record)
{
	return !is_stopped_incarnation(record) &&
	       record->member->state != AUB_MEMBER_STOPPED;
}

static gint64 latest_seen_us(const struct aubi_member_record *record)
{
	return MAX(record->last_seen_us, record->last_proof_us);
}

static bool is_live(const struct aubi_membership *membership,
		    const struct aubi_member_record *record, gint64 now_us)
{
	if (!is_counted(record))
		return false;
	if (record == membership->self)
		return true;
	return latest_seen_us(record) &&
	       now_us - latest_seen_us(record) < AUBI_MEMBER_TIMEOUT_US;
}

guint32 aubi_membership_age_ms(const struct aubi_membership *membership,
			       const struct aubi_member_record *record,
			       gint64 now_us)
{
	gint64 age_us = now_us - latest_seen_us(record);

	if (record == membership->self)
		return 0;
	return (guint32)MIN(MAX(age_us, 0) / 1000, G_MAXUINT32);
}

struct aubi_membership *aubi_membership_new(const struct aub_member *self,
					    const char *const *seeds,
					    guint32 seed)
{
	struct aubi_membership *membership = g_new0(struct aubi_membership, 1);

	membership->records = g_ptr_array_new_with_free_func(record_free);
	membership->random = g_rand_new_with_seed(seed);
	membership->seeds = g_strdupv((char **)seeds);
	membership->self =
		aubi_membership_insert(membership, g_strdup(self->name), self);
	membership->self->reported_live = true;
	aubi_membership_rehash(membership);
	return membership;
}

void aubi_membership_free(struct aubi_membership *membership)
{
	if (!membership)
		return;
	g_ptr_array_unref(membership->records);
	g_rand_free(membership->random);
	g_strfreev(membership->seeds);
	g_free(membership);
}

const struct aub_member *aubi_membership_self(
	const struct aubi_membership *membership)
{
	return membership->self->member;
}

bool aubi_membership_superseded(const struct aubi_membership *membership)
{
	return membership->superseded;
}

/*
 * When an entry has stopped as planned and another one starts under its name,
 * keys granted by the stopped entry would be answered "unknown" although its
 * successor has them. The record of the stopped incarnation is therefore
 * retained under a key of its own until the keys have expired.
 */
bool aubi_membership_retain_stopped(struct aubi_membership *membership,
				    const struct aub_member *stopped,
				    gint64 now_us)
{
	struct aubi_member_record *record;
	char *key;

	if (stopped->state != AUB_MEMBER_STOPPED || !stopped->successor)
		return false;
	if ((gint64)stopped->age_ms * 1000 >= AUBI_MEMBER_STOPPED_RETENTION_US)
		return false;
	key = g_strdup_printf("%s#%" G_GINT64_MODIFIER "x", stopped->name,
			      stopped->incarnation);
	if (aubi_membership_find(membership, key)) {
		g_free(key);
		return false;
	}
	record = aubi_membership_insert(membership, key, stopped);
	record->last_seen_us = MAX(1, now_us - (gint64)stopped->age_ms * 1000);
	return true;
}

static bool same_text(const char *a, const char *b)
{
	return !g_strcmp0(a, b);
}

static bool same_record(const struct aub_member *a, const struct aub_member *b)
{
	return a->state == b->state && a->incarnation == b->incarnation &&
	       a->successor == b->successor && same_text(a->zone, b->zone) &&
	       same_text(a->callers_address, b->callers_address) &&
	       same_text(a->inner_address, b->inner_address) &&
	       same_text(a->control_address, b->control_address) &&
	       same_text(a->entry_admin, b->entry_admin) &&
	       same_text(a->control_admin, b->control_admin);
}

void aubi_membership_update_self(struct aubi_membership *membership,
				 const struct aub_member *self, gint64 now_us)
{
	struct aubi_member_record *record = membership->self;
	struct aub_member *old = record->member;
	struct aub_member *copy = aub_member_copy(self);

	aub_string_set(&copy->name, old->name);
	copy->control_incarnation = old->control_incarnation;
	copy->revision = old->revision;
	if (!same_record(old, copy))
		copy->revision++;
	record->member = copy;
	if (old->incarnation != copy->incarnation)
		aubi_membership_retain_stopped(membership, old, now_us);
	aub_member_free(old);
	aubi_membership_rehash(membership);
}

/*
 * A minority partition that forgot the other members as dead would count itself
 * complete and would serve again, with an old version. Members are only
 * forgotten where a majority is reachable, which cannot be true on both sides.
 */
static bool can_forget_dead(const struct aubi_membership *membership,
			    gint64 now_us)
{
	guint majority = aubi_membership_count(membership) / 2 + 1;

	return aubi_membership_proof_age_us(membership, majority, now_us) <
	       AUBI_MEMBER_TIMEOUT_US;
}

static bool is_expired(const struct aubi_membership *membership,
		       const struct aubi_member_record *record, bool forget,
		       gint64 now_us)
{
	gint64 age_us = now_us - latest_seen_us(record);

	if (record == membership->self)
		return false;
	if (record->member->state == AUB_MEMBER_STOPPED)
		return age_us >= AUBI_MEMBER_STOPPED_RETENTION_US;
	return forget && age_us >= AUBI_MEMBER_DEAD_RETENTION_US;
}

guint aubi_membership_forget_dead(struct aubi_membership *membership,
				  gint64 now_us)
{
	guint forgotten = 0;
	guint i;

	for (i = 0; i < membership->records->len; i++) {
		struct aubi_member_record *record =
			membership->records->pdata[i];

		if (!is_counted(record) || is_live(membership, record, now_us))
			continue;
		record->member->state = AUB_MEMBER_STOPPED;
		record->member->revision++;
		forgotten++;
	}
	if (forgotten)
		aubi_membership_rehash(membership);
	return forgotten;
}

bool aubi_membership_tick(struct aubi_membership *membership, gint64 now_us)
{
	guint before = membership->records->len;
	bool forget = can_forget_dead(membership, now_us);
	bool changed = false;
	guint i;

	for (i = before; i > 0; i--) {
		struct aubi_member_record *record =
			membership->records->pdata[i - 1];
		bool live = is_live(membership, record, now_us);

		if (live != record->reported_live)
			changed = true;
		record->reported_live = live;
		if (is_expired(membership, record, forget, now_us))
			g_ptr_array_remove_index(membership->records, i - 1);
	}
	if (membership->records->len != before)
		aubi_membership_rehash(membership);
	return changed || membership->records->len != before;
}

/*
 * Adds seed addresses at which no live member is known, as an unknown peer may
 * run there.
 */
static void add_seeds(const struct aubi_membership *membership,
		      GPtrArray *addresses, gint64 now_us)
{
	guint i;
	guint j;

	for (i = 0; membership->seeds && membership->seeds[i]; i++) {
		bool known = false;

		for (j = 0; j < membership->records->len; j++) {
			struct aubi_member_record *record =
				membership->records->pdata[j];

			if (is_live(membership, record, now_us) &&
			    same_text(record->member->control_address,
				      membership->seeds[i]))
				known = true;
		}
		if (!known)
			g_ptr_array_add(addresses, membership->seeds[i]);
	}
}

const char *aubi_membership_pick_peer(struct aubi_membership *membership,
				      gint64 now_us)
{
	GPtrArray *live = g_ptr_array_new();
	GPtrArray *unreachable = g_ptr_array_new();
	GPtrArray *from = live;
	const char *address = NULL;
	guint i;

	for (i = 0; i < membership->records->len; i++) {
		struct aubi_member_record *record =
			membership->records->pdata[i];

		if (record == membership->self || !is_counted(record))
			continue;
		g_ptr_array_add(is_live(membership, record, now_us) ?
					live :
					unreachable,
				record->member->control_address);
	}
	add_seeds(membership, unreachable, now_us);
	membership->pick_count++;
	if (!live->len || (unreachable->len &&
			   membership->pick_count % LOST_PEER_PICK_PERIOD == 0))
		from = unreachable;
	if (from->len)
		address = from->pdata[g_rand_int_range(membership->random, 0,
						       (gint32)from->len)];
	g_ptr_array_unref(live);
	g_ptr_array_unref(unreachable);
	return address;
}

GPtrArray *aubi_membership_list(const struct aubi_membership *membership,
				gint64 now_us)
{
	GPtrArray *list;
	guint i;

	list = g_ptr_array_new_with_free_func((GDestroyNotify)aub_member_free);
	for (i = 0; i < membership->records->len; i++) {
		const struct aubi_member_record *record =
			membership->records->pdata[i];
		struct aub_member *copy = aub_member_copy(record->member);

		copy->age_ms =
			aubi_membership_age_ms(membership, record, now_us);
		if (is_counted(record) && !is_live(membership, record, now_us))
			copy->state = AUB_MEMBER_DEAD;
		g_ptr_array_add(list, copy);
	}
	return list;
}

guint aubi_membership_count(const struct aubi_membership *membership)
{
	guint known = 0;
	guint i;

	for (i = 0; i < membership->records->len; i++)
		known += is_counted(membership->records->pdata[i]);
	return known;
}

guint aubi_membership_count_live(const struct aubi_membership *membership,
				 gint64 now_us)
{
	guint live = 0;
	guint i;

	for (i = 0; i < membership->records->len; i++)
		live += is_live(membership, membership->records->pdata[i],
				now_us);
	return live;
}

guint aubi_membership_count_holding(const struct aubi_membership *membership,
				    guint64 version)
{
	guint holders = 0;
	guint i;

	for (i = 0; i < membership->records->len; i++) {
		const struct aubi_member_record *record =
			membership->records->pdata[i];

		holders +=
			is_counted(record) && (record == membership->self ||
					       record->held_version >= version);
	}
	return holders;
}

static int by_time_descending(const void *a, const void *b)
{
	gint64 left = *(const gint64 *)a;
	gint64 right = *(const gint64 *)b;

	return left > right ? -1 : left < right;
}

gint64 aubi_membership_proof_age_us(const struct aubi_membership *membership,
				    guint count, gint64 now_us)
{
	GArray *times = g_array_new(FALSE, FALSE, sizeof(gint64));
	gint64 age_us = AUBI_AGE_UNKNOWN_US;
	guint i;

	for (i = 0; i < membership->records->len; i++) {
		const struct aubi_member_record *record =
			membership->records->pdata[i];
		gint64 at_us = record->last_proof_us;

		if (record == membership->self)
			at_us = now_us;
		if (is_counted(record) && at_us)
			g_array_append_val(times, at_us);
	}
	g_array_sort(times, by_time_descending);
	if (!count)
		age_us = 0;
	else if (times->len >= count)
		age_us = now_us - g_array_index(times, gint64, count - 1);
	g_array_unref(times);
	return age_us;
}

static bool outranks(const struct aub_member *a, const struct aub_member *b)
{
	if (a->control_incarnation != b->control_incarnation)
		return a->control_incarnation < b->control_incarnation;
	return strcmp(a->name, b->name) < 0;
}

guint aubi_membership_rank(const struct aubi_membership *membership,
			   aubi_member_filter *filter, void *context,
			   gint64 now_us)
{
	const struct aub_member *self = membership->self->member;
	guint rank = 0;
	guint i;

	for (i = 0; i < membership->records->len; i++) {
		const struct aubi_member_record *record =
			membership->records->pdata[i];

		if (!is_live(membership, record, now_us))
			continue;
		if (filter && !filter(record->member, context))
			continue;
		if (outranks(record->member, self))
			rank++;
	}
	return rank;
}
