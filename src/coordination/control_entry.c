/*
 * The local entry: the control sends it views, and the entry's acknowledgements
 * report the active version, its load and a planned stop.
 */
#include <auburnstile/error.h>
#include <auburnstile/internal/control.h>
#include <auburnstile/log.h>

#include <string.h>

#define VIEW_INTERVAL_US ((gint64)500000) /* between views without changes */
/* Time after which an unacknowledged configuration is resent. */
#define CONFIG_RESEND_US ((gint64)2000000)
/* Time for an entry to reconnect before its services move. */
#define RECONNECT_GRACE_US ((gint64)300000)
/* An entry that acknowledges no view for this long is treated as paused. */
#define ACK_TIMEOUT_US ((gint64)1500000)

struct aubi_entry_task {
	struct aubi_control *control;
	struct aub_link *link; /* owned; NULL while there is no entry */
	guint view_source; /* idle source that will send a view */
	gint64 view_sent_us; /* when the last view was sent */
	/* Configuration whose bytes were last sent. */
	guint64 config_sent_version;
	gint64 config_sent_us;
	guint64 acked_version;
	guint64 ack_number;
	gint64 acked_us; /* last acknowledgement, or when the link came up */
	/* When the link went down; 0: it is up, or loss handled. */
	gint64 link_lost_us;
	bool stopping;
	guint64 successor;
	guint64 bytes; /* transferred over links that have ended */
};

static gint64 now(const struct aubi_entry_task *task)
{
	return aub_timer_now(task->control->timers);
}

static void copy_members(struct aubi_entry_task *task, struct aub_view *view,
			 gint64 now_us)
{
	g_ptr_array_unref(view->members);
	view->members = aubi_membership_list(task->control->membership, now_us);
}

static void copy_assignments(struct aubi_entry_task *task,
			     struct aub_view *view)
{
	const GPtrArray *list = task->control->assignments->list;
	guint i;

	view->epoch = task->control->assignments->epoch;
	for (i = 0; i < list->len; i++)
		g_ptr_array_add(view->assignments,
				aub_assignment_copy(list->pdata[i]));
}

/* Includes the configuration's bytes only while they are not acknowledged. */
static void copy_config(struct aubi_entry_task *task, struct aub_view *view,
			gint64 now_us)
{
	guint64 version = task->control->agreement.config_version;
	const char *json;
	gsize length;

	view->config_version = version;
	if (!version || task->acked_version >= version)
		return;
	if (task->config_sent_version == version &&
	    now_us - task->config_sent_us < CONFIG_RESEND_US)
		return;
	task->config_sent_version = version;
	task->config_sent_us = now_us;
	json = aubi_config_history_json(task->control->history, &length);
	aub_bytes_set(&view->config, json, length);
}

static void send_view(struct aubi_entry_task *task)
{
	struct aubi_control *control = task->control;
	gint64 now_us = now(task);
	struct aub_view *view;
	gint64 serve_us;

	serve_us = aubi_agreement_serve_lease_us(&control->agreement,
						 control->membership, now_us);
	view = (struct aub_view *)aub_message_new(AUB_MESSAGE_VIEW);
	copy_config(task, view, now_us);
	copy_assignments(task, view);
	copy_members(task, view, now_us);
	view->serve = serve_us > 0;
	view->serve_ms = (guint32)(serve_us / 1000);
	view->echo = task->ack_number;
	task->view_sent_us = now_us;
	aub_link_send(task->link, &view->base);
	aub_message_free(&view->base);
}

static gboolean on_view_due(void *context)
{
	struct aubi_entry_task *task = context;

	task->view_source = 0;
	if (task->link && aub_link_is_up(task->link))
		send_view(task);
	return G_SOURCE_REMOVE;
}

void aubi_entry_task_schedule_view(struct aubi_entry_task *task)
{
	if (task && task->link && !task->view_source)
		task->view_source = g_idle_add_full(G_PRIORITY_DEFAULT,
						    on_view_due, task, NULL);
}

/* Updates the own record from the state of the entry. */
static void update_self(struct aubi_entry_task *task, bool present)
{
	struct aubi_control *control = task->control;
	struct aub_member *self;

	self = aub_member_copy(aubi_membership_self(control->membership));
	if (present) {
		const struct aub_hello *hello = aub_link_peer_hello(task->link);

		self->incarnation = hello->incarnation;
		aub_string_set(&self->inner_address, hello->address);
		aub_string_set(&self->callers_address, hello->callers_address);
		aub_string_set(&self->entry_admin, hello->admin_address);
		self->state = AUB_MEMBER_LIVE;
	} else if (task->stopping && task->successor) {
		self->state = AUB_MEMBER_STOPPED;
	} else {
		self->incarnation = 0;
	}
	if (present && (task->stopping || control->leaving))
		self->state = AUB_MEMBER_LEAVING;
	self->successor = task->stopping ? task->successor : 0;
	self->config_version = present ? task->acked_version : 0;
	aubi_membership_update_self(control->membership, self, now(task));
	aub_member_free(self);
	aubi_control_members_changed(control);
}

static void close_link(struct aubi_entry_task *task)
{
	task->bytes += aub_link_transferred_bytes(task->link);
	aub_link_free(task->link);
	task->link = NULL;
	task->link_lost_us = now(task);
}

bool aubi_entry_task_accept(struct aubi_entry_task *task, struct aub_link *link,
			    const struct aub_hello *hello)
{
	const struct aub_hello *old;

	if (strcmp(hello->name, task->control->settings->name) != 0) {
		aub_log_warning("refused a link from the entry of %s",
				hello->name);
		return false;
	}
	old = task->link ? aub_link_peer_hello(task->link) : NULL;
	if (old && hello->incarnation < old->incarnation)
		return false;
	if (task->link)
		close_link(task);
	task->link = link;
	task->config_sent_version = 0;
	task->acked_version = 0;
	task->ack_number = 0;
	task->stopping = false;
	task->successor = 0;
	return true;
}

static void on_up(struct aub_link *link, const struct aub_hello *hello,
		  void *context)
{
	struct aubi_entry_task *task = context;

	aub_log_info("entry %s connected", hello->callers_address);
	task->link_lost_us = 0;
	task->acked_us = now(task);
	update_self(task, true);
	send_view(task);
}

static void on_ack(struct aubi_entry_task *task, const struct aub_view_ack *ack)
{
	struct aubi_control *control = task->control;
	const struct aub_member *self;
	struct aub_member *copy;
	bool state_changed;

	state_changed = ack->stopping != task->stopping ||
			ack->successor != task->successor;
	task->acked_us = now(task);
	task->ack_number = ack->number;
	task->stopping = ack->stopping;
	task->successor = ack->successor;
	self = aubi_membership_self(control->membership);
	if (ack->config_version != task->acked_version)
		aubi_control_record_event(control, AUB_EVENT_VIEW,
					  ack->config_version, NULL, NULL,
					  "active at the entry");
	if (state_changed || !self->incarnation ||
	    ack->config_version != task->acked_version) {
		task->acked_version = ack->config_version;
		update_self(task, true);
		return;
	}
	copy = aub_member_copy(self);
	copy->load_permille = ack->load_permille;
	aubi_membership_update_self(control->membership, copy, now(task));
	aub_member_free(copy);
}

static void on_message(struct aub_link *link, struct aub_message *message,
		       void *context)
{
	struct aubi_entry_task *task = context;

	if (message->type == AUB_MESSAGE_VIEW_ACK) {
		on_ack(task, (struct aub_view_ack *)message);
	} else {
		aub_log_warning("link to the entry: unexpected %s",
				aub_message_type_name(message->type));
		close_link(task);
	}
	aub_message_free(message);
}

static void on_down(struct aub_link *link, const GError *error, void *context)
{
	struct aubi_entry_task *task = context;

	aub_log_info("link to the entry closed: %s",
		     error ? error->message : "closed");
	if (link != task->link) {
		aub_link_free(link);
		return;
	}
	close_link(task);
	if (task->stopping)
		update_self(task, false);
}

static const struct aub_link_callbacks callbacks = {
	.up = on_up,
	.message = on_message,
	.down = on_down,
};

const struct aub_link_callbacks *aubi_entry_task_callbacks(void)
{
	return &callbacks;
}

/*
 * An entry that is disconnected or paused cannot own a queue, as its services
 * would stall. After 0.3 s without a link or 1.5 s without an acknowledgement
 * the entry's incarnation is removed from the own record, so ownership moves
 * immediately instead of after the three seconds until the member counts as
 * dead.
 */
static void check_presence(struct aubi_entry_task *task, gint64 now_us)
{
	const struct aub_member *self =
		aubi_membership_self(task->control->membership);

	if (task->link_lost_us &&
	    now_us - task->link_lost_us >= RECONNECT_GRACE_US) {
		task->link_lost_us = 0;
		if (self->state != AUB_MEMBER_STOPPED && self->incarnation)
			update_self(task, false);
		return;
	}
	if (task->link && self->incarnation &&
	    now_us - task->acked_us >= ACK_TIMEOUT_US) {
		aub_log_warning("entry has not acknowledged a view for %d ms",
				(int)((now_us - task->acked_us) / 1000));
		update_self(task, false);
	}
}

void aubi_entry_task_tick(struct aubi_entry_task *task, gint64 now_us)
{
	check_presence(task, now_us);
	if (task->link && aub_link_is_up(task->link) &&
	    now_us - task->view_sent_us >= VIEW_INTERVAL_US)
		send_view(task);
}

bool aubi_entry_task_connected(const struct aubi_entry_task *task)
{
	return task->link != NULL;
}

guint64 aubi_entry_task_bytes(const struct aubi_entry_task *task)
{
	return task->bytes +
	       (task->link ? aub_link_transferred_bytes(task->link) : 0);
}

bool aubi_entry_task_stopping(const struct aubi_entry_task *task)
{
	return task->stopping;
}

struct aubi_entry_task *aubi_entry_task_new(struct aubi_control *control)
{
	struct aubi_entry_task *task = g_new0(struct aubi_entry_task, 1);

	task->control = control;
	return task;
}

void aubi_entry_task_free(struct aubi_entry_task *task)
{
	if (!task)
		return;
	if (task->view_source)
		g_source_remove(task->view_source);
	aub_link_free(task->link);
	g_free(task);
}
