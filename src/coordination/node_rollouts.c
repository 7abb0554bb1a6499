/*
 * Rollout orders as held in the store, and writes of their state.
 *
 * The store accepts a write only at the revision that is known here, so that
 * one of several writers, or an operator who changes the order, wins. A write
 * without an answer may have been applied; it is retried at the same revision,
 * which the store refuses if it was.
 */
#include <auburnstile/internal/decision_log.h>
#include <auburnstile/internal/node_internal.h>

#define WRITE_RETRY_DELAY_US (250 * AUB_MS)
/* time before watchers write in place of the placer */
#define WATCHER_WRITE_DELAY_US (1500 * AUB_MS)

struct stored_order {
	struct aub_node *node;
	char *service;
	gint64 revision;
	struct aub_rollout_record record; /* as stored */
	enum aub_rollout_state pending_state; /* state in the current write */
	struct aub_store_write *write; /* in progress; or NULL */
	gint64 next_write_us; /* earliest time of the next write */
	gint64 requested_us; /* when the final state was first requested */
};

static void stored_order_free(void *data)
{
	struct stored_order *order = data;

	aub_store_write_cancel(order->write);
	g_free(order->record.order.version);
	g_free(order->service);
	g_free(order);
}

void aub_node_rollouts_init(struct aub_node *node)
{
	node->rollout_orders = g_hash_table_new_full(g_str_hash, g_str_equal,
						     NULL, stored_order_free);
}

void aub_node_rollouts_clear(struct aub_node *node)
{
	g_clear_pointer(&node->rollout_orders, g_hash_table_unref);
}

void aub_node_apply_rollout_order(struct aub_node *node,
				  const struct aub_record *record)
{
	const struct aub_rollout_record *rollout = record->rollout;
	struct stored_order *order;

	aub_placer_update_order(node->placer, record->name, rollout,
				record->problem != NULL);
	if (!rollout) {
		g_hash_table_remove(node->rollout_orders, record->name);
		return;
	}
	order = g_hash_table_lookup(node->rollout_orders, record->name);
	if (!order) {
		order = g_new0(struct stored_order, 1);
		order->node = node;
		order->service = g_strdup(record->name);
		g_hash_table_insert(node->rollout_orders, order->service,
				    order);
	}
	if (!aub_rollout_order_equal(&order->record.order, &rollout->order)) {
		/* The write in progress belongs to the previous order. */
		g_clear_pointer(&order->write, aub_store_write_cancel);
		order->requested_us = 0;
	}
	g_free(order->record.order.version);
	order->record = *rollout;
	order->record.order.version = g_strdup(rollout->order.version);
	order->revision = record->revision;
}

static void on_written(enum aub_store_result result, bool conflict,
		       void *context)
{
	struct stored_order *order = context;
	struct aub_node *node = order->node;
	const struct aub_rollout_record written = {
		.order = order->record.order,
		.state = order->pending_state,
	};

	order->write = NULL;
	order->next_write_us =
		aub_timer_now(node->timers) + WRITE_RETRY_DELAY_US;
	aub_log_begin(AUB_LOG_ROLLOUT_STORED);
	aub_log_text("service", order->service);
	aub_log_text("state", aub_rollout_state_name(written.state));
	aub_log_text("result",
		     conflict ? "conflict" : aub_store_result_name(result));
	aub_log_number("revision", order->revision);
	aub_log_end();
	if (result != AUB_STORE_ANSWERED)
		return;
	order->record.state = written.state;
	aub_placer_on_order_stored(node->placer, order->service, &written);
}

static bool is_final(enum aub_rollout_state state)
{
	return state == AUB_ROLLOUT_COMPLETED ||
	       state == AUB_ROLLOUT_ROLLED_BACK;
}

static void write_state(struct stored_order *order,
			enum aub_rollout_state state)
{
	struct aub_node *node = order->node;
	const struct aub_rollout_record written = {
		.order = order->record.order,
		.state = state,
	};
	GBytes *body;

	order->pending_state = state;
	body = node->platform->rollout_body(order->service, order->revision,
					    &written);
	order->write =
		aub_store_sync_write_state(node->store, AUB_STORE_ROLLOUTS,
					   order->service, body, on_written,
					   order);
	g_bytes_unref(body);
}

bool aub_node_store_rollout_state(const char *service,
				  enum aub_rollout_state state, bool placer,
				  void *context)
{
	struct aub_node *node = context;
	struct stored_order *order =
		g_hash_table_lookup(node->rollout_orders, service);
	gint64 now = aub_timer_now(node->timers);

	if (!order)
		return true;
	if (order->record.state == state || is_final(order->record.state) ||
	    state == AUB_ROLLOUT_NONE)
		return true;
	if (!order->requested_us)
		order->requested_us = now;
	if (order->write || now < order->next_write_us)
		return false;
	/*
	 * The placer may be partitioned from the store when it finds a version
	 * to be bad, and then exit, so that a gateway that starts later would
	 * not know. The store's watchers therefore write the state that the
	 * placer has published.
	 */
	if (!placer && (!aub_peers_self_is_watcher(node->peers) ||
			now - order->requested_us < WATCHER_WRITE_DELAY_US))
		return false;
	write_state(order, state);
	return false;
}
