/*
 * Gossip messages: encoding the state of members and merging what peers send.
 *
 * A proof of life is relayed as an age that only grows, because the reader adds
 * the whole round trip. While both sides know the same roster, a member takes
 * two bytes per message; otherwise tags identify exactly the records the other
 * side lacks, and only these are sent.
 */
#include <auburnstile/internal/membership_table.h>

#include <string.h>

#define AGE_UNIT_US ((gint64)50000)
#define AGE_UNKNOWN 255
#define FLAG_CONFIG_ACTIVE 0x80
#define FLAG_CONFIG_HELD 0x40
#define LOAD_MASK 0x3f
#define LOAD_UNIT_PERMILLE 20 /* per unit of the 6-bit load */
#define COMPACT_ROW_BYTES 2
#define TAGGED_ROW_BYTES 6
#define TAG_BYTES 4
/* Further records follow in the next exchange. */
#define MESSAGE_RECORDS_MAX 256

void aubi_membership_begin_exchange(const struct aubi_membership *membership,
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
		return AUBI_AGE_UNKNOWN_US;
	return now_us - sent_us;
}

static int compare_records(const struct aub_member *a,
			   const struct aub_member *b)
{
	if (a->control_incarnation != b->control_incarnation)
		return a->control_incarnation > b->control_incarnation ? 1 : -1;
	if (a->revision != b->revision)
		return a->revision > b->revision ? 1 : -1;
	return 0;
}

/*
 * Processes a record with this member's own name. If it belongs to a newer
 * process that is alive, this process has been replaced and stops serving. If
 * the newer process is dead, this process started with a slow clock and its
 * records would always be ignored, so it continues with a number above that of
 * the dead process.
 */
static bool receive_own_name(struct aubi_membership *membership,
			     const struct aub_member *member, gint64 now_us)
{
	struct aub_member *self = membership->self->member;

	if (member->control_incarnation > self->control_incarnation) {
		membership->superseded =
			(gint64)member->age_ms * 1000 < AUBI_MEMBER_TIMEOUT_US;
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
		return aubi_membership_retain_stopped(membership, member,
						      now_us);
	return false;
}

/* Merges one full record from a message. Returns true if the table changed. */
static bool receive_record(struct aubi_membership *membership,
			   const struct aub_member *member, gint64 now_us)
{
	gint64 age_us = (gint64)member->age_ms * 1000;
	struct aubi_member_record *record =
		aubi_membership_find(membership, member->name);
	struct aub_member *old;

	if (strchr(member->name, '#'))
		return false;
	if (record == membership->self)
		return receive_own_name(membership, member, now_us);
	if (!record) {
		if (member->state == AUB_MEMBER_STOPPED &&
		    age_us >= AUBI_MEMBER_STOPPED_RETENTION_US)
			return false;
		record = aubi_membership_insert(membership,
						g_strdup(member->name), member);
		record->last_seen_us = MAX(1, now_us - age_us);
		return true;
	}
	if (compare_records(member, record->member) < 0 &&
	    member->incarnation != record->member->incarnation)
		return aubi_membership_retain_stopped(membership, member,
						      now_us);
	if (compare_records(member, record->member) <= 0)
		return false;
	old = record->member;
	record->member = aub_member_copy(member);
	record->last_seen_us = MAX(record->last_seen_us, now_us - age_us);
	if (old->incarnation != member->incarnation)
		aubi_membership_retain_stopped(membership, old, now_us);
	if (old->control_incarnation != member->control_incarnation)
		record->last_proof_us = record->held_version = 0;
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
	return gossip->ages.length ==
	       (gsize)gossip->member_count * COMPACT_ROW_BYTES;
}

static bool is_tagged(const struct aub_gossip *gossip)
{
	return gossip->ages.length ==
	       (gsize)gossip->member_count * TAGGED_ROW_BYTES;
}

static void receive_age(const struct aub_gossip *gossip,
			struct aubi_member_record *record,
			const guint8 *age_flags, gint64 delay_us, gint64 now_us)
{
	gint64 at_us = now_us - delay_us - age_flags[0] * AGE_UNIT_US;
	guint32 load = (age_flags[1] & LOAD_MASK) * LOAD_UNIT_PERMILLE;

	if ((age_flags[1] & FLAG_CONFIG_ACTIVE) &&
	    record->member->config_version < gossip->config_version)
		record->member->config_version = gossip->config_version;
	if (age_flags[1] & FLAG_CONFIG_HELD)
		record->held_version =
			MAX(record->held_version, gossip->config_version);
	if (age_flags[0] == AGE_UNKNOWN || at_us <= record->last_proof_us)
		return;
	record->last_proof_us = at_us;
	record->member->load_permille = load;
}

static void receive_ages(struct aubi_membership *membership,
			 const struct aub_gossip *gossip, gint64 now_us)
{
	gint64 delay_us = aubi_gossip_delay_us(gossip, now_us);
	bool compact = is_compact(gossip);
	gsize step = compact ? COMPACT_ROW_BYTES : TAGGED_ROW_BYTES;
	guint i;

	if (delay_us == AUBI_AGE_UNKNOWN_US)
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
			receive_age(gossip, record,
				    row + (compact ? 0 : TAG_BYTES), delay_us,
				    now_us);
	}
}

bool aubi_membership_receive(struct aubi_membership *membership,
			     const char *from, guint64 sender_incarnation,
			     const struct aub_gossip *gossip, gint64 now_us)
{
	struct aubi_member_record *sender;
	bool changed = false;
	guint i;

	for (i = 0; i < gossip->members->len; i++)
		changed |= receive_record(membership, gossip->members->pdata[i],
					  now_us);
	if (changed)
		aubi_membership_rehash(membership);
	sender = aubi_membership_find(membership, from);
	if (sender && sender != membership->self &&
	    sender->member->control_incarnation == sender_incarnation)
		sender->last_seen_us = now_us;
	if (gossip->ages.length)
		receive_ages(membership, gossip, now_us);
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
		guint8 pair[COMPACT_ROW_BYTES] = { AGE_UNKNOWN, 0 };

		if (record == membership->self)
			pair[0] = 0;
		else if (record->last_proof_us && !behind)
			pair[0] = age_byte(now_us - record->last_proof_us);
		pair[1] = (guint8)(MIN(record->member->load_permille, 1000) /
				   LOAD_UNIT_PERMILLE);
		if (record->member->config_version >= gossip->config_version)
			pair[1] |= FLAG_CONFIG_ACTIVE;
		if (record == membership->self ||
		    record->held_version >= gossip->config_version)
			pair[1] |= FLAG_CONFIG_HELD;
		if (!compact)
			g_byte_array_append(rows, (guint8 *)&tag, TAG_BYTES);
		g_byte_array_append(rows, pair, sizeof(pair));
	}
	aub_bytes_set(&gossip->ages, rows->data, rows->len);
	g_byte_array_unref(rows);
}

/* Adds the full records whose tags are not listed in `received`. */
static void write_missing(const struct aubi_membership *membership,
			  const struct aub_gossip *received,
			  struct aub_gossip *gossip, gint64 now_us)
{
	GHashTable *known_tags = g_hash_table_new(NULL, NULL);
	guint i;

	for (i = 0; i < received->member_count; i++) {
		guint32 tag;

		memcpy(&tag, received->ages.data + (gsize)i * TAGGED_ROW_BYTES,
		       sizeof(tag));
		g_hash_table_add(known_tags,
				 GUINT_TO_POINTER(GUINT32_FROM_BE(tag)));
	}
	for (i = 0; i < membership->records->len; i++) {
		const struct aubi_member_record *record =
			membership->records->pdata[i];
		struct aub_member *copy;

		if (gossip->members->len >= MESSAGE_RECORDS_MAX)
			break;
		if (g_hash_table_contains(known_tags,
					  GUINT_TO_POINTER(record->tag)))
			continue;
		copy = aub_member_copy(record->member);
		copy->age_ms =
			aubi_membership_age_ms(membership, record, now_us);
		g_ptr_array_add(gossip->members, copy);
	}
	g_hash_table_destroy(known_tags);
}

bool aubi_membership_reply(const struct aubi_membership *membership,
			   const struct aub_gossip *received, bool behind,
			   struct aub_gossip *gossip, gint64 now_us)
{
	bool has_tags = received->ages.length && !is_compact(received) &&
			is_tagged(received);
	bool compact = received->roster == membership->roster &&
		       received->member_count == membership->records->len;

	if (has_tags)
		write_missing(membership, received, gossip, now_us);
	if (!received->number)
		return gossip->members->len > 0;
	aubi_membership_begin_exchange(membership, gossip, now_us);
	if (received->echo)
		gossip->number = 0;
	gossip->echo = received->number;
	write_ages(membership, gossip, compact, behind, now_us);
	return true;
}
