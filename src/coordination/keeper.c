/*
 * The keeper of keys.
 *
 * A key names the one incarnation that may run requests under it. Whoever
 * can't reach that incarnation, or the heir it named, never runs them.
 */
#include <auburnstile/internal/keeper.h>
#include <auburnstile/internal/headers.h>
#include <auburnstile/log.h>

#define HEIR_CHAIN 16 /* stops in a row that a key is followed through */
#define PART_BYTES (1u << 20) /* of a hand-over message, about */
#define PART_RECORDS 1000
#define HEIR_TRIES 3
#define HEIR_WAIT_US (2 * AUB_SECOND) /* for an acknowledgement */
#define HEIR_LINK_US (50 * AUB_MS) /* between looks whether the link is up */

struct waiter {
	aub_keeper_waiter *callback;
	void *context;
};

struct aub_keeper {
	struct aub_keeper_options options;
	struct aub_key_table *table;
	GHashTable *waiters; /* key -> GArray of struct waiter */
	GHashTable *adopted; /* set of incarnations whose keys are here */

	/* The hand-over, once it began. */
	struct aub_relay *relay;
	GPtrArray *records;
	guint next; /* first record not yet sent */
	guint32 part; /* that awaits its acknowledgement */
	bool sent; /* one is under way */
	bool last; /* it was the last */
	guint64 successor;
	GHashTable *tried;
	guint tries;
	gint64 since_us;
	guint timer;
	bool closed; /* begins no new key */
	bool handing_over;
	bool handed_over;
	aub_keeper_done *done;
	void *context;
};

static gint64 now(const struct aub_keeper *keeper)
{
	return aub_timer_now(keeper->options.timers);
}

static void waiters_free(void *data)
{
	g_array_unref(data);
}

struct aub_keeper *aub_keeper_new(const struct aub_keeper_options *options)
{
	struct aub_keeper *keeper = g_new0(struct aub_keeper, 1);

	keeper->options = *options;
	keeper->table =
		aub_key_table_new(options->limit_bytes, options->keep_us);
	keeper->waiters = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						waiters_free);
	keeper->adopted = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						g_free, NULL);
	keeper->tried = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					      g_free, NULL);
	return keeper;
}

void aub_keeper_free(struct aub_keeper *keeper)
{
	if (!keeper)
		return;
	aub_timer_cancel(keeper->options.timers, keeper->timer);
	g_clear_pointer(&keeper->records, g_ptr_array_unref);
	aub_key_table_free(keeper->table);
	g_hash_table_unref(keeper->waiters);
	g_hash_table_unref(keeper->adopted);
	g_hash_table_unref(keeper->tried);
	g_free(keeper);
}

static enum aub_keeper_place locate_incarnation(
	const struct aub_keeper *keeper, guint64 incarnation,
	const struct aub_member **member)
{
	const struct aub_entry_view *view = keeper->options.view;
	guint64 successor;

	for (guint i = 0; i < HEIR_CHAIN; i++) {
		if (incarnation == keeper->options.incarnation) {
			if (!keeper->handed_over)
				return AUB_KEEPER_HERE;
			incarnation = keeper->successor;
			continue;
		}
		if (g_hash_table_contains(keeper->adopted, &incarnation)) {
			incarnation = keeper->options.incarnation;
			continue;
		}
		*member = aub_entry_view_member(view, incarnation);
		successor = aub_entry_view_heir(view, incarnation);
		if (!successor)
			break;
		incarnation = successor;
		/* Named as heir, but the keys never came. */
		if (incarnation == keeper->options.incarnation)
			return AUB_KEEPER_GONE;
	}
	if (*member && ((*member)->state == AUB_MEMBER_LIVE ||
			(*member)->state == AUB_MEMBER_LEAVING))
		return AUB_KEEPER_ELSEWHERE;
	return AUB_KEEPER_GONE;
}

enum aub_keeper_place aub_keeper_locate(const struct aub_keeper *keeper,
					const char *key,
					const struct aub_member **member)
{
	guint64 incarnation;
	gint64 issued_s;
	char *entry = NULL;

	*member = NULL;
	if (!aub_key_parse(key, &entry, &incarnation, &issued_s, NULL))
		return AUB_KEEPER_INVALID;
	g_free(entry);
	if (!incarnation)
		return AUB_KEEPER_INVALID;
	return locate_incarnation(keeper, incarnation, member);
}

static void add_waiter(struct aub_keeper *keeper, const char *key,
		       aub_keeper_waiter *callback, void *context)
{
	struct waiter waiter = { .callback = callback, .context = context };
	GArray *list = g_hash_table_lookup(keeper->waiters, key);

	if (!list) {
		list = g_array_new(FALSE, FALSE, sizeof(struct waiter));
		g_hash_table_insert(keeper->waiters, g_strdup(key), list);
	}
	g_array_append_val(list, waiter);
}

static struct aub_answer *kept_answer(const struct aub_key_record *record)
{
	struct aub_answer *answer;

	answer = (struct aub_answer *)aub_message_new(AUB_MESSAGE_ANSWER);
	answer->outcome = record->outcome;
	answer->status = record->status;
	if (record->outcome == AUB_OUTCOME_UNKNOWN) {
		answer->status = 504;
		aub_string_set(&answer->reason, "kept-unknown");
	} else if (record->payload_discarded) {
		/* Part of an answer must not pass for the whole. */
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

/* Age of a valid key's grant, by this VM's wall clock. */
static gint64 grant_age_us(const char *key)
{
	guint64 incarnation;
	gint64 issued_s = 0;
	char *entry = NULL;

	if (aub_key_parse(key, &entry, &incarnation, &issued_s, NULL))
		g_free(entry);
	return g_get_real_time() - issued_s * AUB_SECOND;
}

enum aub_key_verdict aub_keeper_begin(struct aub_keeper *keeper,
				      const struct aub_call *call,
				      aub_keeper_waiter *waiter, void *context,
				      struct aub_answer **kept)
{
	const struct aub_key_record *record = NULL;
	guint8 fingerprint[AUB_FINGERPRINT_BYTES];
	const char *authorization;
	enum aub_key_verdict verdict;
	const char *cookie;

	authorization = aub_headers_find(call->headers, "Authorization");
	cookie = aub_headers_find(call->headers, "Cookie");
	aub_request_fingerprint(call->method, call->path, &call->body,
				authorization ? authorization : "",
				cookie ? cookie : "", fingerprint);
	verdict = aub_key_table_begin(keeper->table, call->key, fingerprint,
				      grant_age_us(call->key), now(keeper),
				      &record);
	if (verdict == AUB_KEY_KEPT)
		*kept = kept_answer(record);
	else if (verdict == AUB_KEY_RUNNING)
		add_waiter(keeper, call->key, waiter, context);
	return verdict;
}

void aub_keeper_leave(struct aub_keeper *keeper, const char *key, void *context)
{
	GArray *list = g_hash_table_lookup(keeper->waiters, key);

	for (guint i = 0; list && i < list->len; i++) {
		if (g_array_index(list, struct waiter, i).context != context)
			continue;
		g_array_remove_index(list, i);
		break;
	}
	if (list && !list->len)
		g_hash_table_remove(keeper->waiters, key);
}

void aub_keeper_finish(struct aub_keeper *keeper, const char *key,
		       const struct aub_answer *answer)
{
	GArray *list = g_hash_table_lookup(keeper->waiters, key);

	aub_key_table_finish(keeper->table, key, answer, now(keeper));
	if (!list)
		return;
	g_array_ref(list);
	g_hash_table_remove(keeper->waiters, key);
	for (guint i = 0; i < list->len; i++) {
		struct waiter *waiter = &g_array_index(list, struct waiter, i);

		waiter->callback(answer, waiter->context);
	}
	g_array_unref(list);
}

static void note_keys(struct aub_keeper *keeper, guint count, const char *text)
{
	aub_event_record_simple(keeper->options.events, AUB_EVENT_KEYS, 0, count, NULL,
		       text);
}

void aub_keeper_adopt(struct aub_keeper *keeper, const struct aub_keys *keys)
{
	for (guint i = 0; i < keys->records->len; i++)
		aub_key_table_import(keeper->table, keys->records->pdata[i],
				     now(keeper));
	note_keys(keeper, keys->records->len, "taken over");
	if (keys->last)
		g_hash_table_add(keeper->adopted,
				 g_memdup2(&keys->incarnation,
					   sizeof(keys->incarnation)));
}

struct heir_search {
	const struct aub_keeper *keeper;
	const struct aub_member *best;
};

/* Another zone first: a zone that is taken out stops all of its entries. */
static void consider_heir(const struct aub_member *member, void *context)
{
	struct heir_search *search = context;
	const struct aub_keeper *keeper = search->keeper;
	bool other_zone;

	if (member->state != AUB_MEMBER_LIVE || !member->incarnation ||
	    member->incarnation == keeper->options.incarnation ||
	    g_hash_table_contains(keeper->tried, &member->incarnation))
		return;
	other_zone = g_strcmp0(member->zone, keeper->options.zone) != 0;
	if (!search->best || (other_zone && !g_strcmp0(search->best->zone,
						       keeper->options.zone)))
		search->best = member;
}

static void end_hand_over(struct aub_keeper *keeper, guint64 successor)
{
	aub_timer_cancel(keeper->options.timers, keeper->timer);
	keeper->timer = 0;
	keeper->successor = successor;
	keeper->handed_over = successor != 0;
	note_keys(keeper, keeper->records->len,
		  successor ? "handed over" : "no heir found");
	keeper->done(successor, keeper->context);
}

/* Next of the members not tried yet; false when there is none. */
static bool choose_heir(struct aub_keeper *keeper)
{
	struct heir_search search = { .keeper = keeper };

	if (keeper->tries++ >= HEIR_TRIES)
		return false;
	aub_entry_view_members(keeper->options.view, consider_heir, &search);
	if (!search.best)
		return false;
	keeper->successor = search.best->incarnation;
	g_hash_table_add(keeper->tried,
			 g_memdup2(&keeper->successor, sizeof(keeper->successor)));
	keeper->next = 0;
	keeper->part = 0;
	keeper->sent = false;
	keeper->last = false;
	keeper->since_us = now(keeper);
	aub_relay_watch(keeper->relay, search.best);
	return true;
}

static bool send_part(struct aub_keeper *keeper)
{
	struct aub_keys *keys;
	gsize bytes = 0;
	guint next = keeper->next;
	bool sent;

	keys = (struct aub_keys *)aub_message_new(AUB_MESSAGE_KEYS);
	keys->incarnation = keeper->options.incarnation;
	keys->part = keeper->part;
	/* Records are lent to the message and stay with the list. */
	g_ptr_array_set_free_func(keys->records, NULL);
	while (next < keeper->records->len && bytes < PART_BYTES &&
	       keys->records->len < PART_RECORDS) {
		struct aub_key_record *record = keeper->records->pdata[next++];

		bytes += record->body.length + AUB_KEY_LIMIT;
		g_ptr_array_add(keys->records, record);
	}
	keys->last = next == keeper->records->len;
	sent = aub_relay_send_message(keeper->relay, keeper->successor, &keys->base);
	if (sent) {
		keeper->next = next;
		keeper->last = keys->last;
		keeper->sent = true;
		keeper->since_us = now(keeper);
	}
	g_ptr_array_set_size(keys->records, 0);
	aub_message_free(&keys->base);
	return sent;
}

static void on_look(void *context, gint64 now_us)
{
	struct aub_keeper *keeper = context;
	enum aub_peer_state state;

	state = aub_relay_peer_state(keeper->relay, keeper->successor);
	if (state == AUB_PEER_UP && !keeper->sent && send_part(keeper))
		return;
	if (state != AUB_PEER_DOWN && now_us - keeper->since_us < HEIR_WAIT_US)
		return;
	/*
	 * Failure: the first heir took all keys but its word is lost, a second
	 * one gets them too, and each runs what the other was first asked.
	 * Whoever was sent the last part stays the heir: if it has the keys,
	 * it is the only one, and if not, the answer is "unknown".
	 */
	if (keeper->last)
		end_hand_over(keeper, keeper->successor);
	else if (!choose_heir(keeper))
		end_hand_over(keeper, 0);
}

void aub_keeper_acknowledged(struct aub_keeper *keeper,
			     const struct aub_keys_ack *ack)
{
	if (!keeper->handing_over || keeper->handed_over || !keeper->sent ||
	    ack->incarnation != keeper->options.incarnation ||
	    ack->part != keeper->part)
		return;
	keeper->sent = false;
	keeper->part++;
	if (keeper->last)
		end_hand_over(keeper, keeper->successor);
	else
		send_part(keeper);
}

void aub_keeper_hand_over(struct aub_keeper *keeper, struct aub_relay *relay,
			  aub_keeper_done *done, void *context)
{
	g_assert(!keeper->handing_over);
	keeper->handing_over = true;
	keeper->closed = true;
	keeper->relay = relay;
	keeper->done = done;
	keeper->context = context;
	keeper->records = aub_key_table_export(keeper->table, now(keeper));
	keeper->timer = aub_timer_every(keeper->options.timers, "hand over",
					HEIR_LINK_US, on_look, keeper);
	if (!choose_heir(keeper))
		end_hand_over(keeper, 0);
}

void aub_keeper_close(struct aub_keeper *keeper)
{
	keeper->closed = true;
}

bool aub_keeper_closed(const struct aub_keeper *keeper)
{
	return keeper->closed;
}

guint aub_keeper_count(const struct aub_keeper *keeper)
{
	return aub_key_table_count(keeper->table);
}

gsize aub_keeper_bytes(const struct aub_keeper *keeper)
{
	return aub_key_table_bytes(keeper->table);
}
