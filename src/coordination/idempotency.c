/*
 * Ownership of idempotency keys.
 *
 * A key names the single incarnation that may run requests under it. An entry
 * that cannot reach that incarnation, or the successor it named, never runs
 * them.
 */
#include <auburnstile/internal/idempotency.h>
#include <auburnstile/internal/headers.h>
#include <auburnstile/log.h>

/* Consecutive planned stops followed per key. */
#define SUCCESSOR_CHAIN_MAX 16
#define PART_TARGET_BYTES (1u << 20) /* per transfer message, approximately */
#define PART_RECORDS_MAX 1000
#define SUCCESSOR_ATTEMPTS_MAX 3
#define SUCCESSOR_ACK_TIMEOUT_US (2 * AUB_SECOND) /* for an acknowledgement */
/* Between checks whether the link is up. */
#define LINK_CHECK_INTERVAL_US (50 * AUB_MS)

struct waiter {
	aub_idempotency_waiter *callback;
	void *context;
};

struct aub_idempotency {
	struct aub_idempotency_options options;
	struct aub_key_table *table;
	GHashTable *waiters; /* key -> GArray of struct waiter */
	GHashTable *imported_from; /* set of incarnations whose keys were
				      imported */

	/* State of the transfer, once it has begun. */
	struct aub_relay *relay;
	GPtrArray *records;
	guint next_record; /* first record not yet sent */
	guint32 part_number; /* of the part awaiting its acknowledgement */
	bool awaiting_ack; /* a part has been sent */
	bool last_part_sent; /* and it was the last one */
	guint64 successor;
	GHashTable *tried; /* set of incarnations tried as successor */
	guint attempts;
	gint64 attempt_started_us;
	guint timer;
	bool closed; /* starts no new key */
	bool transferring;
	bool transferred;
	aub_idempotency_transferred *done;
	void *context;
};

static gint64 now(const struct aub_idempotency *idempotency)
{
	return aub_timer_now(idempotency->options.timers);
}

static void waiters_free(void *data)
{
	g_array_unref(data);
}

struct aub_idempotency *aub_idempotency_new(
	const struct aub_idempotency_options *options)
{
	struct aub_idempotency *idempotency = g_new0(struct aub_idempotency, 1);

	idempotency->options = *options;
	idempotency->table =
		aub_key_table_new(options->max_bytes, options->retention_us);
	idempotency->waiters = g_hash_table_new_full(g_str_hash, g_str_equal,
						     g_free, waiters_free);
	idempotency->imported_from =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
				      NULL);
	idempotency->tried = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						   g_free, NULL);
	return idempotency;
}

void aub_idempotency_free(struct aub_idempotency *idempotency)
{
	if (!idempotency)
		return;
	aub_timer_cancel(idempotency->options.timers, idempotency->timer);
	g_clear_pointer(&idempotency->records, g_ptr_array_unref);
	aub_key_table_free(idempotency->table);
	g_hash_table_unref(idempotency->waiters);
	g_hash_table_unref(idempotency->imported_from);
	g_hash_table_unref(idempotency->tried);
	g_free(idempotency);
}

static enum aub_key_location locate_incarnation(
	const struct aub_idempotency *idempotency, guint64 incarnation,
	const struct aub_member **member)
{
	const struct aub_entry_view *view = idempotency->options.view;
	guint64 successor;

	for (guint i = 0; i < SUCCESSOR_CHAIN_MAX; i++) {
		if (incarnation == idempotency->options.incarnation) {
			if (!idempotency->transferred)
				return AUB_KEY_LOCATION_HERE;
			incarnation = idempotency->successor;
			continue;
		}
		if (g_hash_table_contains(idempotency->imported_from,
					  &incarnation)) {
			incarnation = idempotency->options.incarnation;
			continue;
		}
		*member = aub_entry_view_member(view, incarnation);
		successor = aub_entry_view_successor(view, incarnation);
		if (!successor)
			break;
		incarnation = successor;
		/*
		 * This entry is named as successor, but the keys never arrived.
		 */
		if (incarnation == idempotency->options.incarnation)
			return AUB_KEY_LOCATION_LOST;
	}
	if (*member && ((*member)->state == AUB_MEMBER_LIVE ||
			(*member)->state == AUB_MEMBER_LEAVING))
		return AUB_KEY_LOCATION_REMOTE;
	return AUB_KEY_LOCATION_LOST;
}

enum aub_key_location aub_idempotency_locate(
	const struct aub_idempotency *idempotency, const char *key,
	const struct aub_member **member)
{
	guint64 incarnation;
	gint64 issued_s;
	char *entry = NULL;

	*member = NULL;
	if (!aub_key_parse(key, &entry, &incarnation, &issued_s, NULL))
		return AUB_KEY_LOCATION_INVALID;
	g_free(entry);
	if (!incarnation)
		return AUB_KEY_LOCATION_INVALID;
	return locate_incarnation(idempotency, incarnation, member);
}

static void add_waiter(struct aub_idempotency *idempotency, const char *key,
		       aub_idempotency_waiter *callback, void *context)
{
	struct waiter waiter = { .callback = callback, .context = context };
	GArray *list = g_hash_table_lookup(idempotency->waiters, key);

	if (!list) {
		list = g_array_new(FALSE, FALSE, sizeof(struct waiter));
		g_hash_table_insert(idempotency->waiters, g_strdup(key), list);
	}
	g_array_append_val(list, waiter);
}

static struct aub_answer *cached_answer(const struct aub_key_record *record)
{
	struct aub_answer *answer;

	answer = (struct aub_answer *)aub_message_new(AUB_MESSAGE_ANSWER);
	answer->outcome = record->outcome;
	answer->status = record->status;
	if (record->outcome == AUB_OUTCOME_UNKNOWN) {
		answer->status = 504;
		aub_string_set(&answer->reason, "kept-unknown");
	} else if (record->payload_discarded) {
		/* A partial answer must not be returned as a complete one. */
		answer->status = 410;
		aub_string_set(&answer->reason, "answer-not-kept");
		return answer;
	}
	for (guint i = 0; i < record->headers->len; i++) {
		const struct aub_header *header = record->headers->pdata[i];

		g_ptr_array_add(answer->headers,
				aub_header_new(header->name, header->value));
	}
	aub_bytes_set(&answer->body, record->body.data, record->body.length);
	return answer;
}

/* Returns the age of a valid key's grant, by the wall clock of this VM. */
static gint64 grant_age_us(const char *key)
{
	guint64 incarnation;
	gint64 issued_s = 0;
	char *entry = NULL;

	if (aub_key_parse(key, &entry, &incarnation, &issued_s, NULL))
		g_free(entry);
	return g_get_real_time() - issued_s * AUB_SECOND;
}

enum aub_key_decision aub_idempotency_begin(struct aub_idempotency *idempotency,
					    const struct aub_call *call,
					    aub_idempotency_waiter *waiter,
					    void *context,
					    struct aub_answer **cached)
{
	const struct aub_key_record *record = NULL;
	guint8 fingerprint[AUB_FINGERPRINT_BYTES];
	const char *authorization;
	enum aub_key_decision decision;
	const char *cookie;

	authorization = aub_headers_find(call->headers, "Authorization");
	cookie = aub_headers_find(call->headers, "Cookie");
	aub_request_fingerprint(call->method, call->path, &call->body,
				authorization ? authorization : "",
				cookie ? cookie : "", fingerprint);
	decision = aub_key_table_begin(idempotency->table, call->key,
				       fingerprint, grant_age_us(call->key),
				       now(idempotency), &record);
	if (decision == AUB_KEY_RECORDED)
		*cached = cached_answer(record);
	else if (decision == AUB_KEY_RUNNING)
		add_waiter(idempotency, call->key, waiter, context);
	return decision;
}

void aub_idempotency_stop_waiting(struct aub_idempotency *idempotency,
				  const char *key, void *context)
{
	GArray *list = g_hash_table_lookup(idempotency->waiters, key);

	for (guint i = 0; list && i < list->len; i++) {
		if (g_array_index(list, struct waiter, i).context != context)
			continue;
		g_array_remove_index(list, i);
		break;
	}
	if (list && !list->len)
		g_hash_table_remove(idempotency->waiters, key);
}

void aub_idempotency_finish(struct aub_idempotency *idempotency,
			    const char *key, const struct aub_answer *answer)
{
	GArray *list = g_hash_table_lookup(idempotency->waiters, key);

	aub_key_table_finish(idempotency->table, key, answer, now(idempotency));
	if (!list)
		return;
	g_array_ref(list);
	g_hash_table_remove(idempotency->waiters, key);
	for (guint i = 0; i < list->len; i++) {
		struct waiter *waiter = &g_array_index(list, struct waiter, i);

		waiter->callback(answer, waiter->context);
	}
	g_array_unref(list);
}

static void record_keys_event(struct aub_idempotency *idempotency, guint count,
			      const char *text)
{
	aub_event_record_simple(idempotency->options.events, AUB_EVENT_KEYS, 0,
				count, NULL, text);
}

void aub_idempotency_import(struct aub_idempotency *idempotency,
			    const struct aub_keys *keys)
{
	for (guint i = 0; i < keys->records->len; i++)
		aub_key_table_import(idempotency->table,
				     keys->records->pdata[i], now(idempotency));
	record_keys_event(idempotency, keys->records->len, "taken over");
	if (keys->last)
		g_hash_table_add(idempotency->imported_from,
				 g_memdup2(&keys->incarnation,
					   sizeof(keys->incarnation)));
}

struct successor_search {
	const struct aub_idempotency *idempotency;
	const struct aub_member *best;
};

/* Prefers another zone, because taking out a zone stops all its entries. */
static void consider_successor(const struct aub_member *member, void *context)
{
	struct successor_search *search = context;
	const struct aub_idempotency *idempotency = search->idempotency;
	bool other_zone;

	if (member->state != AUB_MEMBER_LIVE || !member->incarnation ||
	    member->incarnation == idempotency->options.incarnation ||
	    g_hash_table_contains(idempotency->tried, &member->incarnation))
		return;
	other_zone = g_strcmp0(member->zone, idempotency->options.zone) != 0;
	if (!search->best ||
	    (other_zone &&
	     !g_strcmp0(search->best->zone, idempotency->options.zone)))
		search->best = member;
}

static void end_transfer(struct aub_idempotency *idempotency, guint64 successor)
{
	aub_timer_cancel(idempotency->options.timers, idempotency->timer);
	idempotency->timer = 0;
	idempotency->successor = successor;
	idempotency->transferred = successor != 0;
	record_keys_event(idempotency, idempotency->records->len,
			  successor ? "handed over" : "no successor found");
	idempotency->done(successor, idempotency->context);
}

/* Selects the next member not tried yet; returns false if there is none. */
static bool choose_successor(struct aub_idempotency *idempotency)
{
	struct successor_search search = { .idempotency = idempotency };

	if (idempotency->attempts++ >= SUCCESSOR_ATTEMPTS_MAX)
		return false;
	aub_entry_view_members(idempotency->options.view, consider_successor,
			       &search);
	if (!search.best)
		return false;
	idempotency->successor = search.best->incarnation;
	g_hash_table_add(idempotency->tried,
			 g_memdup2(&idempotency->successor,
				   sizeof(idempotency->successor)));
	idempotency->next_record = 0;
	idempotency->part_number = 0;
	idempotency->awaiting_ack = false;
	idempotency->last_part_sent = false;
	idempotency->attempt_started_us = now(idempotency);
	aub_relay_watch(idempotency->relay, search.best);
	return true;
}

static bool send_part(struct aub_idempotency *idempotency)
{
	struct aub_keys *keys;
	gsize bytes = 0;
	guint next = idempotency->next_record;
	bool sent;

	keys = (struct aub_keys *)aub_message_new(AUB_MESSAGE_KEYS);
	keys->incarnation = idempotency->options.incarnation;
	keys->part = idempotency->part_number;
	/* The list keeps ownership of the records in the message. */
	g_ptr_array_set_free_func(keys->records, NULL);
	while (next < idempotency->records->len && bytes < PART_TARGET_BYTES &&
	       keys->records->len < PART_RECORDS_MAX) {
		struct aub_key_record *record =
			idempotency->records->pdata[next++];

		bytes += record->body.length + AUB_KEY_BYTES_MAX;
		g_ptr_array_add(keys->records, record);
	}
	keys->last = next == idempotency->records->len;
	sent = aub_relay_send_message(idempotency->relay,
				      idempotency->successor, &keys->base);
	if (sent) {
		idempotency->next_record = next;
		idempotency->last_part_sent = keys->last;
		idempotency->awaiting_ack = true;
		idempotency->attempt_started_us = now(idempotency);
	}
	g_ptr_array_set_size(keys->records, 0);
	aub_message_free(&keys->base);
	return sent;
}

static void check_transfer(void *context, gint64 now_us)
{
	struct aub_idempotency *idempotency = context;
	enum aub_peer_state state;

	state = aub_relay_peer_state(idempotency->relay,
				     idempotency->successor);
	if (state == AUB_PEER_UP && !idempotency->awaiting_ack &&
	    send_part(idempotency))
		return;
	if (state != AUB_PEER_DOWN &&
	    now_us - idempotency->attempt_started_us < SUCCESSOR_ACK_TIMEOUT_US)
		return;
	/*
	 * If the first successor received all keys and its acknowledgement is
	 * lost, a second one would get them as well, and both would run
	 * requests under the same key. The member that was sent the last part
	 * therefore stays the successor: if it has the keys it is the only one,
	 * and if not, requests are answered "unknown".
	 */
	if (idempotency->last_part_sent)
		end_transfer(idempotency, idempotency->successor);
	else if (!choose_successor(idempotency))
		end_transfer(idempotency, 0);
}

void aub_idempotency_acknowledged(struct aub_idempotency *idempotency,
				  const struct aub_keys_ack *ack)
{
	if (!idempotency->transferring || idempotency->transferred ||
	    !idempotency->awaiting_ack ||
	    ack->incarnation != idempotency->options.incarnation ||
	    ack->part != idempotency->part_number)
		return;
	idempotency->awaiting_ack = false;
	idempotency->part_number++;
	if (idempotency->last_part_sent)
		end_transfer(idempotency, idempotency->successor);
	else
		send_part(idempotency);
}

void aub_idempotency_transfer(struct aub_idempotency *idempotency,
			      struct aub_relay *relay,
			      aub_idempotency_transferred *done, void *context)
{
	g_assert(!idempotency->transferring);
	idempotency->transferring = true;
	idempotency->closed = true;
	idempotency->relay = relay;
	idempotency->done = done;
	idempotency->context = context;
	idempotency->records =
		aub_key_table_export(idempotency->table, now(idempotency));
	idempotency->timer =
		aub_timer_every(idempotency->options.timers, "hand over",
				LINK_CHECK_INTERVAL_US, check_transfer,
				idempotency);
	if (!choose_successor(idempotency))
		end_transfer(idempotency, 0);
}

void aub_idempotency_close(struct aub_idempotency *idempotency)
{
	idempotency->closed = true;
}

bool aub_idempotency_closed(const struct aub_idempotency *idempotency)
{
	return idempotency->closed;
}

guint aub_idempotency_count(const struct aub_idempotency *idempotency)
{
	return aub_key_table_count(idempotency->table);
}

gsize aub_idempotency_bytes(const struct aub_idempotency *idempotency)
{
	return aub_key_table_bytes(idempotency->table);
}
