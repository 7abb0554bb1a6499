/*
 * What one control tells another of the members, and what it believes.
 *
 * A proof of life is relayed as an age that only grows on its way: the
 * reader adds the whole round trip. While both sides know the same roster a
 * member costs two bytes a message; where they differ, tags show exactly
 * which records the other side lacks, and only these are sent.
 */
#include <auburnstile/internal/membership_table.h>

#include <string.h>

#define AGE_UNIT_US ((gint64)50000)
#define AGE_UNKNOWN 255
#define FLAG_IN_FORCE 0x80
#define FLAG_HELD 0x40
#define LOAD_BITS 0x3f
#define LOAD_UNIT 20 /* permille a step of the 6 bits */
#define COMPACT_ROW 2
#define TAGGED_ROW 6
#define TAG_BYTES 4
#define RECORDS_LIMIT 256 /* records a message; the rest comes next time */

void aubi_membership_ask(const struct aubi_membership *membership,
			 struct aub_gossip *gossip, gint64 now_us)
{
	gossip->number = (guint64)(now_us / 1000);
	gossip->echo = 0;
	gossip->roster = membership->roster;
	gossip->member_count = membership->records->len;
}

gint64 aubi_gossip_delay_us(const struct aub_gossip *gossip, gint64 now_us)
{
	gint64 sent_us = (gint64)(gossip->echo * 1000);

	if (!gossip->echo || sent_us > now_us)
		return AUBI_MEMBER_NEVER;
	return now_us - sent_us;
}

static int newer(const struct aub_member *a, const struct aub_member *b)
{
	if (a->control_incarnation != b->control_incarnation)
		return a->control_incarnation > b->control_incarnation ? 1 : -1;
	if (a->revision != b->revision)
		return a->revision > b->revision ? 1 : -1;
	return 0;
}

/*
 * A record under the own name. Of a newer start: this process was replaced
 * and serves no longer. But if that one is silent, it is dead, and the own
 * clock was behind when this one started: it could never be heard. So it
 * takes a number above the dead one's.
 */
static bool hear_namesake(struct aubi_membership *membership,
			  const struct aub_member *member, gint64 now_us)
{
	struct aub_member *self = membership->self->member;

	if (member->control_incarnation > self->control_incarnation) {
		membership->superseded =
			(gint64)member->age_ms * 1000 < AUBI_MEMBER_LIVE_US;
		if (membership->superseded)
			return false;
		self->control_incarnation = member->control_incarnation + 1;
		return true;
	}
	if (member->control_incarnation == self->control_incarnation &&
	    member->revision > self->revision) {
		self->revision = member->revision + 1;
		return true;
	}
	if (member->incarnation != self->incarnation)
		return aubi_membership_keep_past(membership, member, now_us);
	return false;
}

/* One full record out of a message. True if the table changed. */
static bool hear_record(struct aubi_membership *membership,
			const struct aub_member *member, gint64 now_us)
{
	gint64 age_us = (gint64)member->age_ms * 1000;
	struct aubi_member_record *record =
		aubi_membership_find(membership, member->name);
	struct aub_member *old;

	if (strchr(member->name, '#'))
		return false;
	if (record == membership->self)
		return hear_namesake(membership, member, now_us);
	if (!record) {
		if (member->state == AUB_MEMBER_STOPPED &&
		    age_us >= AUBI_MEMBER_STOPPED_US)
			return false;
		record = aubi_membership_insert(membership,
						g_strdup(member->name), member);
		record->heard_us = MAX(1, now_us - age_us);
		return true;
	}
	if (newer(member, record->member) < 0 &&
	    member->incarnation != record->member->incarnation)
		return aubi_membership_keep_past(membership, member, now_us);
	if (newer(member, record->member) <= 0)
		return false;
	old = record->member;
	record->member = aub_member_copy(member);
	record->heard_us = MAX(record->heard_us, now_us - age_us);
	if (old->incarnation != member->incarnation)
		aubi_membership_keep_past(membership, old, now_us);
	if (old->control_incarnation != member->control_incarnation)
		record->proved_us = record->held_version = 0;
	aub_member_free(old);
	return true;
}

static struct aubi_member_record *find_tag(
	const struct aubi_membership *membership, const guint8 *row)
{
	guint32 tag;
	guint i;

	memcpy(&tag, row, sizeof(tag));
	tag = GUINT32_FROM_BE(tag);
	for (i = 0; i < membership->records->len; i++) {
		struct aubi_member_record *record =
			membership->records->pdata[i];

		if (record->tag == tag)
			return record;
	}
	return NULL;
}

static bool is_compact(const struct aub_gossip *gossip)
{
	return gossip->ages.length == (gsize)gossip->member_count * COMPACT_ROW;
}

static bool is_tagged(const struct aub_gossip *gossip)
{
	return gossip->ages.length == (gsize)gossip->member_count * TAGGED_ROW;
}

static void hear_row(const struct aub_gossip *gossip,
		     struct aubi_member_record *record, const guint8 *age_flags,
		     gint64 delay_us, gint64 now_us)
{
	gint64 at_us = now_us - delay_us - age_flags[0] * AGE_UNIT_US;
	guint32 load = (age_flags[1] & LOAD_BITS) * LOAD_UNIT;

	if ((age_flags[1] & FLAG_IN_FORCE) &&
	    record->member->config_version < gossip->config_version)
		record->member->config_version = gossip->config_version;
	if (age_flags[1] & FLAG_HELD)
		record->held_version =
			MAX(record->held_version, gossip->config_version);
	if (age_flags[0] == AGE_UNKNOWN || at_us <= record->proved_us)
		return;
	record->proved_us = at_us;
	record->member->load_permille = load;
}

static void hear_ages(struct aubi_membership *membership,
		      const struct aub_gossip *gossip, gint64 now_us)
{
	gint64 delay_us = aubi_gossip_delay_us(gossip, now_us);
	bool compact = is_compact(gossip);
	gsize step = compact ? COMPACT_ROW : TAGGED_ROW;
	guint i;

	if (delay_us == AUBI_MEMBER_NEVER)
		return;
	if (compact && gossip->roster != membership->roster)
		return;
	if (!compact && !is_tagged(gossip))
		return;
	for (i = 0; i < gossip->member_count; i++) {
		const guint8 *row = gossip->ages.data + i * step;
		struct aubi_member_record *record;

		record = compact ? membership->records->pdata[i] :
				   find_tag(membership, row);
		if (record && record != membership->self)
			hear_row(gossip, record,
				 row + (compact ? 0 : TAG_BYTES), delay_us,
				 now_us);
	}
}

bool aubi_membership_hear(struct aubi_membership *membership, const char *from,
			  guint64 start, const struct aub_gossip *gossip,
			  gint64 now_us)
{
	struct aubi_member_record *sender;
	bool changed = false;
	guint i;

	for (i = 0; i < gossip->members->len; i++)
		changed |= hear_record(membership, gossip->members->pdata[i],
				       now_us);
	if (changed)
		aubi_membership_rehash(membership);
	sender = aubi_membership_find(membership, from);
	if (sender && sender != membership->self &&
	    sender->member->control_incarnation == start)
		sender->heard_us = now_us;
	if (gossip->ages.length)
		hear_ages(membership, gossip, now_us);
	return changed;
}

static guint8 age_byte(gint64 age_us)
{
	gint64 units = (age_us + AGE_UNIT_US - 1) / AGE_UNIT_US;

	return (guint8)CLAMP(units, 0, AGE_UNKNOWN);
}

static void write_ages(const struct aubi_membership *membership,
		       struct aub_gossip *gossip, bool compact, bool behind,
		       gint64 now_us)
{
	GByteArray *rows = g_byte_array_new();
	guint i;

	for (i = 0; i < membership->records->len; i++) {
		const struct aubi_member_record *record =
			membership->records->pdata[i];
		guint32 tag = GUINT32_TO_BE(record->tag);
		guint8 pair[COMPACT_ROW] = { AGE_UNKNOWN, 0 };

		if (record == membership->self)
			pair[0] = 0;
		else if (record->proved_us && !behind)
			pair[0] = age_byte(now_us - record->proved_us);
		pair[1] = (guint8)(MIN(record->member->load_permille, 1000) /
				   LOAD_UNIT);
		if (record->member->config_version >= gossip->config_version)
			pair[1] |= FLAG_IN_FORCE;
		if (record == membership->self ||
		    record->held_version >= gossip->config_version)
			pair[1] |= FLAG_HELD;
		if (!compact)
			g_byte_array_append(rows, (guint8 *)&tag, TAG_BYTES);
		g_byte_array_append(rows, pair, sizeof(pair));
	}
	aub_bytes_set(&gossip->ages, rows->data, rows->len);
	g_byte_array_unref(rows);
}

/* Add the full records whose tag `heard` doesn't list. */
static void write_missing(const struct aubi_membership *membership,
			  const struct aub_gossip *heard,
			  struct aub_gossip *gossip, gint64 now_us)
{
	GHashTable *theirs = g_hash_table_new(NULL, NULL);
	guint i;

	for (i = 0; i < heard->member_count; i++) {
		guint32 tag;

		memcpy(&tag, heard->ages.data + (gsize)i * TAGGED_ROW,
		       sizeof(tag));
		g_hash_table_add(theirs,
				 GUINT_TO_POINTER(GUINT32_FROM_BE(tag)));
	}
	for (i = 0; i < membership->records->len; i++) {
		const struct aubi_member_record *record =
			membership->records->pdata[i];
		struct aub_member *copy;

		if (gossip->members->len >= RECORDS_LIMIT)
			break;
		if (g_hash_table_contains(theirs,
					  GUINT_TO_POINTER(record->tag)))
			continue;
		copy = aub_member_copy(record->member);
		copy->age_ms =
			aubi_membership_age_ms(membership, record, now_us);
		g_ptr_array_add(gossip->members, copy);
	}
	g_hash_table_destroy(theirs);
}

bool aubi_membership_answer(const struct aubi_membership *membership,
			    const struct aub_gossip *heard, bool behind,
			    struct aub_gossip *gossip, gint64 now_us)
{
	bool lists =
		heard->ages.length && !is_compact(heard) && is_tagged(heard);
	bool compact = heard->roster == membership->roster &&
		       heard->member_count == membership->records->len;

	if (lists)
		write_missing(membership, heard, gossip, now_us);
	if (!heard->number)
		return gossip->members->len > 0;
	aubi_membership_ask(membership, gossip, now_us);
	if (heard->echo)
		gossip->number = 0;
	gossip->echo = heard->number;
	write_ages(membership, gossip, compact, behind, now_us);
	return true;
}
