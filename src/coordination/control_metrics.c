/* Counters and gauges of the control, refreshed once a second. */
#include <auburnstile/internal/control.h>

#include <stdio.h>
#include <sys/resource.h>
#include <unistd.h>

#define US_PER_SECOND ((gint64)1000000)

struct aubi_gauge {
	const char *name;
	const char *help;
	gint64 (*read)(const struct aubi_control *control, gint64 now_us);
};

static gint64 read_config(const struct aubi_control *control, gint64 now_us)
{
	return (gint64)control->agreement.config_version;
}

static gint64 read_epoch(const struct aubi_control *control, gint64 now_us)
{
	return (gint64)control->agreement.epoch;
}

static gint64 read_known(const struct aubi_control *control, gint64 now_us)
{
	return aubi_membership_count(control->membership);
}

static gint64 read_live(const struct aubi_control *control, gint64 now_us)
{
	return aubi_membership_count_live(control->membership, now_us);
}

static gint64 read_reachable(const struct aubi_control *control, gint64 now_us)
{
	return control->store_reachable;
}

static gint64 read_fresh(const struct aubi_control *control, gint64 now_us)
{
	gint64 age_us =
		aubi_agreement_config_age_us(&control->agreement, now_us);

	return age_us == AUBI_AGE_UNKNOWN_US ? -1 : age_us / 1000;
}

static gint64 read_serve(const struct aubi_control *control, gint64 now_us)
{
	return aubi_agreement_serve_lease_us(&control->agreement,
					     control->membership, now_us) /
	       1000;
}

static gint64 read_calls(const struct aubi_control *control, gint64 now_us)
{
	return (gint64)aub_store_client_calls(
		aubi_store_task_client(control->store));
}

static gint64 read_bytes_in(const struct aubi_control *control, gint64 now_us)
{
	guint64 in;
	guint64 out;

	aub_link_process_bytes(&in, &out);
	return (gint64)in;
}

static gint64 read_bytes_out(const struct aubi_control *control, gint64 now_us)
{
	guint64 in;
	guint64 out;

	aub_link_process_bytes(&in, &out);
	return (gint64)out;
}

/* Links to the local entry never leave the VM and are counted separately. */
static gint64 read_local_bytes(const struct aubi_control *control,
			       gint64 now_us)
{
	return (gint64)aubi_entry_task_bytes(control->entry);
}

static gint64 read_processor(const struct aubi_control *control, gint64 now_us)
{
	struct rusage usage;

	if (getrusage(RUSAGE_SELF, &usage))
		return 0;
	return (usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) * US_PER_SECOND +
	       usage.ru_utime.tv_usec + usage.ru_stime.tv_usec;
}

static gint64 read_memory(const struct aubi_control *control, gint64 now_us)
{
	FILE *file = fopen("/proc/self/statm", "r");
	long resident = 0;

	if (!file)
		return 0;
	if (fscanf(file, "%*s %ld", &resident) != 1)
		resident = 0;
	fclose(file);
	return (gint64)resident * sysconf(_SC_PAGESIZE);
}

static const struct aubi_gauge gauges[] = {
	{ "auburnstile_config_version", "version of the current configuration",
	  read_config },
	{ "auburnstile_epoch", "epoch of the current assignments", read_epoch },
	{ "auburnstile_members_known", "members counted for majorities",
	  read_known },
	{ "auburnstile_members_live", "members seen recently", read_live },
	{ "auburnstile_store_reachable",
	  "1 if the store answered the last call", read_reachable },
	{ "auburnstile_fresh_ms", "age of the last confirmation, -1 if none",
	  read_fresh },
	{ "auburnstile_serve_ms", "remaining serving lease of the entry",
	  read_serve },
	{ "auburnstile_store_calls", "calls to the store", read_calls },
	{ "auburnstile_link_bytes_in", "bytes read from links", read_bytes_in },
	{ "auburnstile_link_bytes_out", "bytes written to links",
	  read_bytes_out },
	{ "auburnstile_entry_bytes", "bytes to and from the local entry",
	  read_local_bytes },
	{ "auburnstile_processor_us", "processor time used", read_processor },
	{ "auburnstile_resident_bytes", "resident memory", read_memory },
};

void aubi_control_metrics_register(struct aubi_control *control)
{
	struct aub_metrics *metrics = control->metrics;

	control->series_messages =
		aub_metrics_counter(metrics,
				    "auburnstile_control_messages_total", NULL,
				    "messages sent to other controls");
	control->series_exchanges =
		aub_metrics_counter(metrics,
				    "auburnstile_gossip_exchanges_total", NULL,
				    "gossip exchanges started");
	control->series_unresponsive_links = aub_metrics_counter(
		metrics, "auburnstile_silent_links_total", NULL,
		"links closed because an answer was overdue");
	control->series_proposals =
		aub_metrics_counter(metrics,
				    "auburnstile_assignment_writes_total", NULL,
				    "assignments proposed to the store");
}

void aubi_control_metrics_refresh(struct aubi_control *control, gint64 now_us)
{
	guint i;

	for (i = 0; i < G_N_ELEMENTS(gauges); i++) {
		guint handle;

		handle = aub_metrics_gauge(control->metrics, gauges[i].name,
					   NULL, gauges[i].help);
		aub_metrics_set(control->metrics, handle,
				gauges[i].read(control, now_us));
	}
}
