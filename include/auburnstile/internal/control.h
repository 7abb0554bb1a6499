/*
 * The control process of one VM: tasks that own their sockets and state, and
 * the hub that notifies the tasks of each other's changes.
 *
 *   control.c         hub: shared state, periodic tick, planned stop
 *   control_peers.c   gossip and configuration exchange with other controls
 *   control_store.c   watches the store, proposes assignments
 *   control_entry.c   views sent to the local entry, its acknowledgements
 *   config_history.c  recent configurations
 *   control_apply.c   configuration changes by operators
 *   control_admin.c   status requests by operators
 *
 * All tasks run in the default main context of one thread.
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

/* Values of the settings file; borrowed while the control runs. */
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
	gint64 seed; /* 0: derived from the clock */
};

struct aubi_peers;
struct aubi_store_task;
struct aubi_entry_task;
struct aubi_config_history;
struct aubi_config_changes;

struct aubi_control {
	const struct aubi_control_settings *settings;
	char *process; /* such as "control-a1" */
	guint64 incarnation;
	struct aub_timer_service *timers;
	struct aub_metrics *metrics;
	struct aub_event_ring *events;
	struct aub_admin *admin;
	struct aubi_membership *membership;
	struct aubi_agreement agreement;
	struct aubi_config_history *history; /* recent configurations */
	struct aub_inventory *inventory; /* of the current one; NULL: none */
	struct aubi_assignments *assignments; /* current ones; epoch 0: none */
	struct aubi_peers *peers;
	struct aubi_store_task *store;
	struct aubi_entry_task *entry;
	struct aubi_config_changes *changes;
	bool store_reachable;
	/* Member name -> state last recorded as an event. */
	GHashTable *last_states;
	bool superseded; /* warning already logged */
	bool leaving; /* a planned stop has begun */
	gint64 leave_started_us; /* start of the planned stop */
	bool finished; /* the planned stop is complete */
	gint64 leave_deadline_us;
	/* When the state STOPPED was sent to peers; 0: not yet. */
	gint64 stop_announced_us;
	guint series_messages;
	guint series_exchanges;
	guint series_unresponsive_links;
	guint series_proposals;
};

struct aubi_control *aubi_control_new(
	const struct aubi_control_settings *settings, GError **error);
void aubi_control_free(struct aubi_control *control);

/* Begins the planned stop; sets `finished` when it is complete. */
void aubi_control_stop(struct aubi_control *control);

/*
 * Adopts a newer object received from `source` ("store", or the name of a
 * peer). Returns true if it was adopted. An object that cannot be parsed is
 * rejected and logged.
 */
bool aubi_control_adopt_config(struct aubi_control *control, const char *json,
			       gsize length, guint64 version,
			       const char *source);
bool aubi_control_adopt_assignments(struct aubi_control *control,
				    const char *json, gsize length,
				    guint64 version, const char *source);

/*
 * Informs ownership, the entry's view and gossip that members or this control's
 * own record changed.
 */
void aubi_control_members_changed(struct aubi_control *control);

/* Records that the store answered (`error` is NULL) or failed to answer. */
void aubi_control_store_result(struct aubi_control *control,
			       const GError *error);

/* Records an event; the texts may be NULL. */
void aubi_control_record_event(struct aubi_control *control,
			       enum aub_event_type type, guint64 number,
			       const char *peer, const char *zone,
			       const char *text);

/* Returns the region of `zone`, "" if it is unknown; borrowed. */
const char *aubi_control_region(const struct aubi_control *control,
				const char *zone);
/*
 * Returns the number of live members that rank before this one, in the whole
 * fleet or in this control's region; see aubi_membership_rank().
 */
guint aubi_control_rank(const struct aubi_control *control, bool in_region,
			gint64 now_us);
/* Returns true if this member owns a service by the current assignments. */
bool aubi_control_owns_services(const struct aubi_control *control);

/* config_history.c: recent configurations, the current one last. */
struct aubi_config_history *aubi_config_history_new(void);
void aubi_config_history_free(struct aubi_config_history *history);
void aubi_config_history_add(struct aubi_config_history *history,
			     struct aub_config *config, const char *json,
			     gsize length); /* takes ownership of config */
const struct aub_config *aubi_config_history_current(
	const struct aubi_config_history *history);
const struct aub_config *aubi_config_history_find(
	const struct aubi_config_history *history, guint64 version);
const char *aubi_config_history_json(const struct aubi_config_history *history,
				     gsize *length);
/*
 * Returns the current configuration's JSON, compressed; borrowed until the next
 * configuration is added.
 */
GBytes *aubi_config_history_compressed(struct aubi_config_history *history);

/* control_peers.c */
struct aubi_peers *aubi_peers_new(struct aubi_control *control, GError **error);
void aubi_peers_free(struct aubi_peers *peers);
/*
 * Starts exchanges with a few peers immediately because state has changed. The
 * rate is limited; `urgent` allows a higher rate.
 */
void aubi_peers_gossip_now(struct aubi_peers *peers, bool urgent);
void aubi_peers_fill_hello(const struct aubi_control *control,
			   struct aub_hello *hello);

/* control_store.c */
struct aubi_store_task *aubi_store_task_new(struct aubi_control *control);
void aubi_store_task_free(struct aubi_store_task *task);
void aubi_store_task_tick(struct aubi_store_task *task, gint64 now_us);
void aubi_store_task_members_changed(struct aubi_store_task *task);
struct aub_store_client *aubi_store_task_client(struct aubi_store_task *task);

/* control_entry.c. aubi_entry_task_accept() takes ownership of the link. */
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
struct aubi_config_changes *aubi_config_changes_new(
	struct aubi_control *control);
void aubi_config_changes_install(struct aubi_config_changes *changes);
void aubi_config_changes_free(struct aubi_config_changes *changes);
void aubi_config_changes_tick(struct aubi_config_changes *changes,
			      gint64 now_us);
void aubi_admin_install(struct aubi_control *control);

/* control_metrics.c */
void aubi_control_metrics_register(struct aubi_control *control);
void aubi_control_metrics_refresh(struct aubi_control *control, gint64 now_us);

G_END_DECLS

#endif
