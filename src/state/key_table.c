/*
 * Remembered keys: what began under each, and how it ended.
 *
 * Rules: a key that is running or within its time is never forgotten, however
 * full the table is; new keys are refused instead. Kept answers give way to
 * keys, the oldest first: what ran is then still known, and that it ran.
 */
#include <auburnstile/key_table.h>

#include <auburnstile/error.h>
#include <auburnstile/timer.h>

#include <string.h>

#define ENTRY_COST 256 /* bytes: its structs and its places in tables */

struct key_entry {
	struct aub_key_record *record; /* its key is the table's */
	bool running;
	gsize cost; /* without the kept answer */
	gsize answer_cost;
	gint64 expires_us; /* once it no longer runs */
	GList link; /* in table->ended */
	GList answer_link; /* in table->answers while its answer is kept */
};

struct aub_key_table {
	GHashTable *entries; /* key -> struct key_entry, owned */
	GQueue ended; /* of struct key_entry, first to expire first */
	GQueue answers; /* of struct key_entry, the oldest answer first */
	gsize limit;
	gsize bytes;
	gint64 keep_us;
};

static void key_entry_free(gpointer data)
{
	struct key_entry *entry = data;

	aub_key_record_free(entry->record);
	g_free(entry);
}

struct aub_key_table *aub_key_table_new(gsize limit_bytes, gint64 keep_us)
{
	struct aub_key_table *table = g_new0(struct aub_key_table, 1);

	table->entries = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       key_entry_free);
	table->limit = limit_bytes;
	table->keep_us = keep_us;
	return table;
}

void aub_key_table_free(struct aub_key_table *table)
{
	if (!table)
		return;
	g_hash_table_unref(table->entries);
	g_free(table);
}

static void answer_forget(struct aub_key_table *table, struct key_entry *entry)
{
	if (!entry->answer_cost)
		return;
	g_queue_unlink(&table->answers, &entry->answer_link);
	table->bytes -= entry->answer_cost;
	entry->answer_cost = 0;
}

static void entry_remove(struct aub_key_table *table, struct key_entry *entry)
{
	if (!entry->running)
		g_queue_unlink(&table->ended, &entry->link);
	answer_forget(table, entry);
	table->bytes -= entry->cost;
	g_hash_table_remove(table->entries, entry->record->key);
}

static void expire(struct aub_key_table *table, gint64 now_us)
{
	while (table->ended.head) {
		struct key_entry *entry = table->ended.head->data;

		if (entry->expires_us > now_us)
			return;
		entry_remove(table, entry);
	}
}

static void free_header(gpointer header, gpointer unused)
{
	aub_header_free(header);
}

/* Drop the oldest answers until `bytes` fit; false when they can't. */
static bool make_room(struct aub_key_table *table, gsize bytes)
{
	while (table->bytes + bytes > table->limit && table->answers.head) {
		struct key_entry *entry = table->answers.head->data;
		struct aub_key_record *record = entry->record;

		answer_forget(table, entry);
		g_ptr_array_foreach(record->headers, free_header, NULL);
		g_ptr_array_set_size(record->headers, 0);
		aub_bytes_set(&record->body, NULL, 0);
		record->payload_discarded = true;
	}
	return table->bytes + bytes <= table->limit;
}

static struct key_entry *entry_add(struct aub_key_table *table,
				   struct aub_key_record *record)
{
	struct key_entry *entry = g_new0(struct key_entry, 1);

	entry->record = record;
	entry->running = true;
	entry->cost = ENTRY_COST + strlen(record->key);
	entry->link.data = entry;
	entry->answer_link.data = entry;
	table->bytes += entry->cost;
	g_hash_table_insert(table->entries, record->key, entry);
	return entry;
}

/* It no longer runs. Almost always the last to expire, so look from there. */
static void entry_end(struct aub_key_table *table, struct key_entry *entry,
		      gint64 expires_us)
{
	GList *after = table->ended.tail;

	entry->running = false;
	entry->expires_us = expires_us;
	while (after &&
	       ((struct key_entry *)after->data)->expires_us > expires_us)
		after = after->prev;
	g_queue_insert_after_link(&table->ended, after, &entry->link);
}

/*
 * Failure: a caller guesses or reuses a key that is another's.
 * Symptom: it would read the answer to somebody else's payment.
 * Enough: the digest covers content and credentials, and must be equal.
 */
static bool bound_to(const struct aub_key_record *record,
		     const guint8 fingerprint[AUB_FINGERPRINT_BYTES])
{
	guint8 difference = 0;

	if (record->fingerprint.length != AUB_FINGERPRINT_BYTES)
		return false;
	for (guint i = 0; i < AUB_FINGERPRINT_BYTES; i++)
		difference |= record->fingerprint.data[i] ^ fingerprint[i];
	return difference == 0;
}

/*
 * Failure: a key is forgotten after its time, and its caller repeats.
 * Symptom: the payment runs a second time.
 * Enough: by then its grant is too old to begin anything under it.
 */
static enum aub_key_verdict judge_age(const struct aub_key_table *table,
				      gint64 grant_age_us)
{
	gint64 begin_us = table->keep_us / 2;

	if (grant_age_us >= table->keep_us)
		return AUB_KEY_FORGOTTEN;
	if (grant_age_us > begin_us || grant_age_us < -begin_us)
		return AUB_KEY_GRANT_OVER;
	return AUB_KEY_NEW;
}

enum aub_key_verdict aub_key_table_begin(
	struct aub_key_table *table, const char *key,
	const guint8 fingerprint[AUB_FINGERPRINT_BYTES], gint64 grant_age_us,
	gint64 now_us, const struct aub_key_record **record)
{
	enum aub_key_verdict verdict;
	struct key_entry *entry;
	struct aub_key_record *fresh;

	expire(table, now_us);
	entry = g_hash_table_lookup(table->entries, key);
	if (entry) {
		if (!bound_to(entry->record, fingerprint))
			return AUB_KEY_MISMATCH;
		if (entry->running)
			return AUB_KEY_RUNNING;
		*record = entry->record;
		return AUB_KEY_KEPT;
	}
	verdict = judge_age(table, grant_age_us);
	if (verdict != AUB_KEY_NEW)
		return verdict;
	if (!make_room(table, ENTRY_COST + strlen(key)))
		return AUB_KEY_FULL;
	fresh = aub_key_record_new();
	aub_string_set(&fresh->key, key);
	aub_bytes_set(&fresh->fingerprint, fingerprint, AUB_FINGERPRINT_BYTES);
	fresh->outcome = AUB_OUTCOME_UNKNOWN;
	entry_add(table, fresh);
	return AUB_KEY_NEW;
}

static gsize answer_cost(const GPtrArray *headers, const struct aub_bytes *body)
{
	gsize cost = body->length;

	for (guint i = 0; headers && i < headers->len; i++) {
		const struct aub_header *header = headers->pdata[i];

		cost += sizeof(*header) + sizeof(gpointer) +
			strlen(header->name) + strlen(header->value);
	}
	return cost;
}

static void copy_headers(GPtrArray *to, const GPtrArray *from)
{
	for (guint i = 0; from && i < from->len; i++) {
		const struct aub_header *header = from->pdata[i];

		g_ptr_array_add(to,
				aub_header_new(header->name, header->value));
	}
}

/* Keep headers and body if there can be room, else neither. */
static void keep_answer(struct aub_key_table *table, struct key_entry *entry,
			const GPtrArray *headers, const struct aub_bytes *body)
{
	gsize cost = answer_cost(headers, body);

	if (!make_room(table, cost)) {
		entry->record->payload_discarded = true;
		return;
	}
	if (!cost)
		return;
	copy_headers(entry->record->headers, headers);
	aub_bytes_set(&entry->record->body, body->data, body->length);
	entry->answer_cost = cost;
	table->bytes += cost;
	g_queue_push_tail_link(&table->answers, &entry->answer_link);
}

void aub_key_table_finish(struct aub_key_table *table, const char *key,
			  const struct aub_answer *answer, gint64 now_us)
{
	struct key_entry *entry = g_hash_table_lookup(table->entries, key);

	if (!entry || !entry->running)
		return;
	if (answer->outcome == AUB_OUTCOME_NOT_RUN) {
		entry_remove(table, entry);
		return;
	}
	entry->record->outcome = answer->outcome;
	entry->record->status = answer->status;
	entry_end(table, entry, now_us + table->keep_us);
	keep_answer(table, entry, answer->headers, &answer->body);
}

static struct aub_key_record *record_copy(const struct aub_key_record *from)
{
	struct aub_key_record *record = aub_key_record_new();

	aub_string_set(&record->key, from->key);
	aub_bytes_set(&record->fingerprint, from->fingerprint.data,
		      from->fingerprint.length);
	record->outcome = from->outcome;
	record->status = from->status;
	record->payload_discarded = from->payload_discarded;
	return record;
}

GPtrArray *aub_key_table_export(const struct aub_key_table *table,
				gint64 now_us)
{
	GPtrArray *list = g_ptr_array_new_with_free_func(
		(GDestroyNotify)aub_key_record_free);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, table->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct key_entry *entry = value;
		gint64 left_us = entry->running ? table->keep_us :
						  entry->expires_us - now_us;
		struct aub_key_record *record;

		if (left_us <= 0)
			continue;
		record = record_copy(entry->record);
		record->ttl_ms = (guint32)MIN((left_us + AUB_MS - 1) / AUB_MS,
					       G_MAXUINT32);
		copy_headers(record->headers, entry->record->headers);
		aub_bytes_set(&record->body, entry->record->body.data,
			      entry->record->body.length);
		g_ptr_array_add(list, record);
	}
	return list;
}

void aub_key_table_import(struct aub_key_table *table,
			  const struct aub_key_record *record, gint64 now_us)
{
	struct key_entry *entry;

	expire(table, now_us);
	if (!record->ttl_ms ||
	    g_hash_table_contains(table->entries, record->key))
		return;
	entry = entry_add(table, record_copy(record));
	entry_end(table, entry, now_us + (gint64)record->ttl_ms * AUB_MS);
	if (!record->payload_discarded)
		keep_answer(table, entry, record->headers, &record->body);
}

guint aub_key_table_count(const struct aub_key_table *table)
{
	return g_hash_table_size(table->entries);
}

gsize aub_key_table_bytes(const struct aub_key_table *table)
{
	return table->bytes;
}

static bool parse_hex(const char *text, guint64 *number)
{
	char *end = NULL;

	if (!g_ascii_isxdigit(text[0]) || strlen(text) > 16)
		return false;
	*number = g_ascii_strtoull(text, &end, 16);
	return *end == '\0';
}

static bool printable(const char *text)
{
	for (; *text; text++)
		if (!g_ascii_isgraph(*text))
			return false;
	return true;
}

/* Cut the last ".HEX" off `text`; false where there is none. */
static bool cut_hex(char *text, guint64 *number)
{
	char *dot = strrchr(text, '.');

	if (!dot || !parse_hex(dot + 1, number))
		return false;
	*dot = '\0';
	return true;
}

bool aub_key_parse(const char *key, char **entry, guint64 *incarnation,
		   gint64 *issued_s, GError **error)
{
	const char *slash = strchr(key, '/');
	char *grant = NULL;
	guint64 random;
	guint64 issued;

	if (strlen(key) > AUB_KEY_LIMIT || !printable(key) || !slash ||
	    !slash[1])
		goto invalid;
	grant = g_strndup(key, (gsize)(slash - key));
	if (!cut_hex(grant, &random) || !cut_hex(grant, &issued) ||
	    issued > G_MAXUINT32 || !cut_hex(grant, incarnation) || !*grant)
		goto invalid;
	*issued_s = (gint64)issued;
	*entry = grant;
	return true;
invalid:
	g_free(grant);
	aub_error_set(error, AUB_ERROR_INVALID, "parse key", NULL,
		      "want GRANT/TEXT in at most %d printable characters",
		      AUB_KEY_LIMIT);
	return false;
}

char *aub_grant_make(const char *entry, guint64 incarnation, gint64 issued_s,
		     guint64 random)
{
	return g_strdup_printf("%s.%" G_GINT64_MODIFIER "x.%" G_GINT64_MODIFIER
			       "x.%016" G_GINT64_MODIFIER "x",
			       entry, incarnation, (guint64)issued_s, random);
}

/* A part and its length, so that no two lists of parts read alike. */
static void digest_part(GChecksum *checksum, const void *data, gsize length)
{
	guint64 prefix = GUINT64_TO_BE((guint64)length);

	g_checksum_update(checksum, (const guchar *)&prefix, sizeof(prefix));
	if (length)
		g_checksum_update(checksum, data, (gssize)length);
}

static void digest_text(GChecksum *checksum, const char *text)
{
	if (!text)
		text = "";
	digest_part(checksum, text, strlen(text));
}

void aub_request_fingerprint(const char *method, const char *path,
			     const struct aub_bytes *body,
			     const char *authorization, const char *cookie,
			     guint8 fingerprint[AUB_FINGERPRINT_BYTES])
{
	GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);
	gsize length = AUB_FINGERPRINT_BYTES;

	digest_text(checksum, method);
	digest_text(checksum, path);
	digest_part(checksum, body ? body->data : NULL,
		    body ? body->length : 0);
	digest_text(checksum, authorization);
	digest_text(checksum, cookie);
	g_checksum_get_digest(checksum, fingerprint, &length);
	g_checksum_free(checksum);
}
