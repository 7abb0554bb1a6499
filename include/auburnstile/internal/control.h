/*
 * The control of one VM: tasks that own their sockets and their state, and
 * the hub through which they tell each other what came in.
 *
 *   control.c          hub: what is held, the tick, the planned stop
 *   control_peers.c    gossip and configuration to and from other controls
 *   control_store.c    watches the store, proposes assignments
 *   control_entry.c    views to the local entry, its acknowledgements
 *   control_book.c     configurations seen lately
 *   control_apply.c    operators' changes
 *   control_admin.c    operators' questions
 *
 * All tasks run on one thread's default main context.
 */
#ifndef AUBURNSTILE_INTERNAL_CONTROL_H
#define AUBURNSTILE_INTERNAL_CONTROL_H

#include <auburnstile/admin.h>
#include <auburnstile/config.h>
#include <auburnstile/event.h>
#include <auburnstile/internal/agreement.h>
#include <auburnstile/internal/ownership.h>
#include <auburnstile/link.h>
#include <auburnstile/metrics.h>
#include <auburnstile/store_client.h>
#include <auburnstile/timer.h>

G_BEGIN_DECLS

/* As read from settings; borrowed while the control runs. */
struct aubi_control_settings {
	char *name;
	char *zone;
	char *inner;
	char *admin;
	char **peers;
	char *store;
	char *token_file;
	char *log_level;
	bool log_json;
	gint64 stop_ms;
	gint64 event_capacity;
	gint64 seed; /* 0: from the clock */
};

struct aubi_peers;
struct aubi_store_task;
struct aubi_entry_task;
struct aubi_config_history;
struct aubi_config_changes;

struct aubi_control {
	const struct aubi_control_settings *settings;
	char *process; /* "control-a1" */
	guint64 incarnation;
	struct aub_timer_service *timers;
	struct aub_metrics *metrics;
	struct aub_event_ring *events;
	struct aub_admin *admin;
	struct aubi_membership *membership;
	struct aubi_agreement agreement;
	struct aubi_config_history *history; /* configurations seen */
	struct aub_inventory *inventory; /* of the one held; NULL for none */
	struct aubi_assignments *assignments; /* held; epoch 0 for none */
	struct aubi_peers *peers;
	struct aubi_store_task *store;
	struct aubi_entry_task *entry;
	struct aubi_config_changes *changes;
	bool store_reachable;
	GHashTable *last_states; /* member name -> state last noted */
	bool superseded; /* noted */
	bool leaving; /* planned stop */
	gint64 leave_started_us; /* when it began */
	bool finished; /* the planned stop is done */
	gint64 leave_deadline_us;
	gint64 stop_announced_us; /* when STOPPED was told to peers; 0 before */
	guint series_messages;
	guint series_exchanges;
	guint series_unresponsive_links;
	guint series_proposals;
};

struct aubi_control *aubi_control_new(
	const struct aubi_control_settings *settings, GError **error);
void aubi_control_free(struct aubi_control *control);

/* Begin the planned stop; `finished` is set when it is done. */
void aubi_control_leave(struct aubi_control *control);

/*
 * Something newer came from `source` ("store", a peer's name). True if it
 * was taken. What doesn't parse is refused and logged.
 */
bool aubi_control_adopt_config(struct aubi_control *control, const char *json,
			      gsize length, guint64 version,
			      const char *source);
bool aubi_control_adopt_assignments(struct aubi_control *control,
				   const char *json, gsize length,
				   guint64 version, const char *source);

/* Members, or the own record, changed: ownership and view follow. */
void aubi_control_members_changed(struct aubi_control *control);

/* The store answered, or failed to (`error`). */
void aubi_control_store_result(struct aubi_control *control,
			      const GError *error);

/* Record an event; texts may be NULL. */
void aubi_control_record_event(struct aubi_control *control, enum aub_event_type type,
		       guint64 number, const char *peer, const char *zone,
		       const char *text);

/* The own region, "" for unknown; borrowed. */
const char *aubi_control_region(const struct aubi_control *control,
				const char *zone);
guint aubi_control_rank(const struct aubi_control *control, bool in_region,
			gint64 now_us);
bool aubi_control_owns_services(const struct aubi_control *control);

/* control_book.c: the configurations seen lately, the held one last. */
struct aubi_config_history *aubi_config_history_new(void);
void aubi_config_history_free(struct aubi_config_history *history);
void aubi_config_history_add(struct aubi_config_history *history, struct aub_config *config,
		   const char *json, gsize length); /* takes config over */
const struct aub_config *aubi_config_history_current(const struct aubi_config_history *history);
const struct aub_config *aubi_config_history_find(const struct aubi_config_history *history,
					guint64 version);
const char *aubi_config_history_json(const struct aubi_config_history *history, gsize *length);
/* The same, compressed; borrowed until the next is added. */
GBytes *aubi_config_history_compressed(struct aubi_config_history *history);

/* control_peers.c */
struct aubi_peers *aubi_peers_new(struct aubi_control *control, GError **error);
void aubi_peers_free(struct aubi_peers *peers);
/* Exchange with a few peers now: there is news. Bounded in rate. */
void aubi_peers_gossip_now(struct aubi_peers *peers, bool urgent);
void aubi_peers_fill_hello(const struct aubi_control *control,
		      struct aub_hello *hello);

/* control_store.c */
struct aubi_store_task *aubi_store_task_new(struct aubi_control *control);
void aubi_store_task_free(struct aubi_store_task *task);
void aubi_store_task_tick(struct aubi_store_task *task, gint64 now_us);
void aubi_store_task_members_changed(struct aubi_store_task *task);
struct aub_store_client *aubi_store_task_client(struct aubi_store_task *task);

/* control_entry.c. The link is taken over. */
struct aubi_entry_task *aubi_entry_task_new(struct aubi_control *control);
void aubi_entry_task_free(struct aubi_entry_task *task);
const struct aub_link_callbacks *aubi_entry_task_callbacks(void);
bool aubi_entry_task_accept(struct aubi_entry_task *task, struct aub_link *link,
			    const struct aub_hello *hello);
void aubi_entry_task_schedule_view(struct aubi_entry_task *task);
void aubi_entry_task_tick(struct aubi_entry_task *task, gint64 now_us);
bool aubi_entry_task_connected(const struct aubi_entry_task *task);
guint64 aubi_entry_task_bytes(const struct aubi_entry_task *task);
bool aubi_entry_task_stopping(const struct aubi_entry_task *task);

/* control_apply.c and control_admin.c */
struct aubi_config_changes *aubi_config_changes_new(struct aubi_control *control);
void aubi_config_changes_install(struct aubi_config_changes *changes);
void aubi_config_changes_free(struct aubi_config_changes *changes);
void aubi_config_changes_tick(struct aubi_config_changes *changes, gint64 now_us);
void aubi_admin_install(struct aubi_control *control);

/* control_metrics.c */
void aubi_control_metrics_register(struct aubi_control *control);
void aubi_control_metrics_refresh(struct aubi_control *control, gint64 now_us);

G_END_DECLS

#endif
