/*
 * The table of idempotency keys: which requests have begun, and their outcomes.
 *
 * A key is never forgotten while its request runs or within its retention time,
 * however full the table is; new keys are refused instead. Retained answers are
 * dropped in favour of new keys, oldest first: the table then still has the
 * outcome and the status.
 */
#include <auburnstile/key_table.h>

#include <auburnstile/error.h>
#include <auburnstile/timer.h>

#include <string.h>

#define ENTRY_OVERHEAD_BYTES 256 /* structs and hash table entry */

struct key_entry {
	struct aub_key_record *record; /* record->key is the key in `entries` */
	bool running;
	gsize overhead_bytes; /* without the retained answer */
	gsize answer_bytes;
	gint64 expires_us; /* valid once `running` is false */
	GList link; /* in table->completed */
	GList answer_link; /* in table->answers while the answer is retained */
};

struct aub_key_table {
	GHashTable *entries; /* key -> struct key_entry, owned */
	GQueue completed; /* of struct key_entry, by time of expiry */
	GQueue answers; /* of struct key_entry, oldest answer first */
	gsize limit_bytes;
	gsize bytes;
	gint64 retention_us;
};

static void key_entry_free(gpointer data)
{
	struct key_entry *entry = data;

	aub_key_record_free(entry->record);
	g_free(entry);
}

struct aub_key_table *aub_key_table_new(gsize limit_bytes, gint64 retention_us)
{
	struct aub_key_table *table = g_new0(struct aub_key_table, 1);

	table->entries = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       key_entry_free);
	table->limit_bytes = limit_bytes;
	table->retention_us = retention_us;
	return table;
}

void aub_key_table_free(struct aub_key_table *table)
{
	if (!table)
		return;
	g_hash_table_unref(table->entries);
	g_free(table);
}

static void release_answer(struct aub_key_table *table, struct key_entry *entry)
{
	if (!entry->answer_bytes)
		return;
	g_queue_unlink(&table->answers, &entry->answer_link);
	table->bytes -= entry->answer_bytes;
	entry->answer_bytes = 0;
}

static void entry_remove(struct aub_key_table *table, struct key_entry *entry)
{
	if (!entry->running)
		g_queue_unlink(&table->completed, &entry->link);
	release_answer(table, entry);
	table->bytes -= entry->overhead_bytes;
	g_hash_table_remove(table->entries, entry->record->key);
}

static void expire_entries(struct aub_key_table *table, gint64 now_us)
{
	while (table->completed.head) {
		struct key_entry *entry = table->completed.head->data;

		if (entry->expires_us > now_us)
			return;
		entry_remove(table, entry);
	}
}

static void free_header(gpointer header, gpointer unused)
{
	aub_header_free(header);
}

/*
 * Drops the oldest answers until `bytes` more fit. Returns false if they cannot
 * fit.
 */
static bool make_room(struct aub_key_table *table, gsize bytes)
{
	while (table->bytes + bytes > table->limit_bytes &&
	       table->answers.head) {
		struct key_entry *entry = table->answers.head->data;
		struct aub_key_record *record = entry->record;

		release_answer(table, entry);
		g_ptr_array_foreach(record->headers, free_header, NULL);
		g_ptr_array_set_size(record->headers, 0);
		aub_bytes_set(&record->body, NULL, 0);
		record->payload_discarded = true;
	}
	return table->bytes + bytes <= table->limit_bytes;
}

static struct key_entry *entry_add(struct aub_key_table *table,
				   struct aub_key_record *record)
{
	struct key_entry *entry = g_new0(struct key_entry, 1);

	entry->record = record;
	entry->running = true;
	entry->overhead_bytes = ENTRY_OVERHEAD_BYTES + strlen(record->key);
	entry->link.data = entry;
	entry->answer_link.data = entry;
	table->bytes += entry->overhead_bytes;
	g_hash_table_insert(table->entries, record->key, entry);
	return entry;
}

/*
 * Moves an entry to the completed ones. It is almost always the last to expire,
 * so the place is searched from the tail.
 */
static void entry_complete(struct aub_key_table *table, struct key_entry *entry,
			   gint64 expires_us)
{
	GList *after = table->completed.tail;

	entry->running = false;
	entry->expires_us = expires_us;
	while (after &&
	       ((struct key_entry *)after->data)->expires_us > expires_us)
		after = after->prev;
	g_queue_insert_after_link(&table->completed, after, &entry->link);
}

/*
 * Returns true if the record was made for the same request and caller.
 * Otherwise a caller who guesses or reuses another caller's key could read the
 * answer to that caller's payment. The fingerprint covers content and
 * credentials, and has to be equal.
 */
static bool fingerprint_matches(const struct aub_key_record *record,
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
 * Decides by the age of its grant whether an unknown key may begin. If a caller
 * repeats a request after its key was forgotten, the payment must not run a
 * second time; by then its grant is too old.
 */
static enum aub_key_decision check_grant_age(const struct aub_key_table *table,
					     gint64 grant_age_us)
{
	gint64 begin_age_max_us = table->retention_us / 2;

	if (grant_age_us >= table->retention_us)
		return AUB_KEY_FORGOTTEN;
	if (grant_age_us > begin_age_max_us || grant_age_us < -begin_age_max_us)
		return AUB_KEY_GRANT_EXPIRED;
	return AUB_KEY_NEW;
}

enum aub_key_decision aub_key_table_begin(
	struct aub_key_table *table, const char *key,
	const guint8 fingerprint[AUB_FINGERPRINT_BYTES], gint64 grant_age_us,
	gint64 now_us, const struct aub_key_record **record)
{
	enum aub_key_decision decision;
	struct key_entry *entry;
	struct aub_key_record *new_record;

	expire_entries(table, now_us);
	entry = g_hash_table_lookup(table->entries, key);
	if (entry) {
		if (!fingerprint_matches(entry->record, fingerprint))
			return AUB_KEY_MISMATCH;
		if (entry->running)
			return AUB_KEY_RUNNING;
		*record = entry->record;
		return AUB_KEY_RECORDED;
	}
	decision = check_grant_age(table, grant_age_us);
	if (decision != AUB_KEY_NEW)
		return decision;
	if (!make_room(table, ENTRY_OVERHEAD_BYTES + strlen(key)))
		return AUB_KEY_FULL;
	new_record = aub_key_record_new();
	aub_string_set(&new_record->key, key);
	aub_bytes_set(&new_record->fingerprint, fingerprint,
		      AUB_FINGERPRINT_BYTES);
	new_record->outcome = AUB_OUTCOME_UNKNOWN;
	entry_add(table, new_record);
	return AUB_KEY_NEW;
}

static gsize answer_size(const GPtrArray *headers, const struct aub_bytes *body)
{
	gsize bytes = body->length;

	for (guint i = 0; headers && i < headers->len; i++) {
		const struct aub_header *header = headers->pdata[i];

		bytes += sizeof(*header) + sizeof(gpointer) +
			 strlen(header->name) + strlen(header->value);
	}
	return bytes;
}

static void copy_headers(GPtrArray *to, const GPtrArray *from)
{
	for (guint i = 0; from && i < from->len; i++) {
		const struct aub_header *header = from->pdata[i];

		g_ptr_array_add(to,
				aub_header_new(header->name, header->value));
	}
}

/* Retains headers and body if they fit, else neither. */
static void retain_answer(struct aub_key_table *table, struct key_entry *entry,
			  const GPtrArray *headers,
			  const struct aub_bytes *body)
{
	gsize bytes = answer_size(headers, body);

	if (!make_room(table, bytes)) {
		entry->record->payload_discarded = true;
		return;
	}
	if (!bytes)
		return;
	copy_headers(entry->record->headers, headers);
	aub_bytes_set(&entry->record->body, body->data, body->length);
	entry->answer_bytes = bytes;
	table->bytes += bytes;
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
	entry_complete(table, entry, now_us + table->retention_us);
	retain_answer(table, entry, answer->headers, &answer->body);
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
		gint64 left_us = entry->running ? table->retention_us :
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

	expire_entries(table, now_us);
	if (!record->ttl_ms ||
	    g_hash_table_contains(table->entries, record->key))
		return;
	entry = entry_add(table, record_copy(record));
	entry_complete(table, entry, now_us + (gint64)record->ttl_ms * AUB_MS);
	if (!record->payload_discarded)
		retain_answer(table, entry, record->headers, &record->body);
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

static bool is_printable(const char *text)
{
	for (; *text; text++)
		if (!g_ascii_isgraph(*text))
			return false;
	return true;
}

/*
 * Removes the last ".HEX" from `text` and parses it. Returns false if there is
 * none.
 */
static bool split_hex_suffix(char *text, guint64 *number)
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

	if (strlen(key) > AUB_KEY_BYTES_MAX || !is_printable(key) || !slash ||
	    !slash[1])
		goto invalid;
	grant = g_strndup(key, (gsize)(slash - key));
	if (!split_hex_suffix(grant, &random) ||
	    !split_hex_suffix(grant, &issued) || issued > G_MAXUINT32 ||
	    !split_hex_suffix(grant, incarnation) || !*grant)
		goto invalid;
	*issued_s = (gint64)issued;
	*entry = grant;
	return true;
invalid:
	g_free(grant);
	aub_error_set(error, AUB_ERROR_INVALID, "parse key", NULL,
		      "must be GRANT/TEXT of at most %d printable characters",
		      AUB_KEY_BYTES_MAX);
	return false;
}

char *aub_grant_make(const char *entry, guint64 incarnation, gint64 issued_s,
		     guint64 random)
{
	return g_strdup_printf("%s.%" G_GINT64_MODIFIER "x.%" G_GINT64_MODIFIER
			       "x.%016" G_GINT64_MODIFIER "x",
			       entry, incarnation, (guint64)issued_s, random);
}

/*
 * Adds a part with its length, so that different lists of parts have different
 * digests.
 */
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
