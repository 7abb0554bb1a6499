/* Runs of the soak test, for its own program and for the proofs. */
#ifndef TOOLS_SOAK_SOAK_RUN_H
#define TOOLS_SOAK_SOAK_RUN_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/* What upstreams say of themselves; bits of `notices`. */
enum soak_notice_kind {
	SOAK_NOTICE_LIMIT = 1 << 0,
	SOAK_NOTICE_REST = 1 << 1,
	SOAK_NOTICE_LEAVING = 1 << 2,
	SOAK_NOTICE_ALL = (1 << 3) - 1
};

struct soak_options {
	guint seconds; /* duration of the faults */
	bool rollouts; /* with a rollout */
	guint notices; /* kinds of notices; 0: none */
	bool workspaces; /* with API keys and quotas */
	/* gateways lose their links to all upstreams; other faults only with
	   odd seeds */
	bool partitions;
	guint partition_kind; /* enum proxy_partition; 0: any, at random */
	/* the store is silent right after changes of workspaces; no other
	   faults */
	bool silences;
	bool refusals; /* upstreams refuse requests despite free slots */
	bool pauses; /* gateways run only a part of the time */
	bool ahead; /* callers send requests ahead */
	guint gateways; /* their number; 0: the usual one */
};

struct soak_result {
	guint notices; /* said by upstreams */
	guint notice_checks; /* requests that arrived while one bound a sender
			      */
	guint cuts; /* of gateways from the upstreams */
	guint calls_without_links; /* to gateways that were cut off */
	guint violations;
};

/* Returns whether no rule was violated. Prints a line for each violation. */
bool soak_run(guint32 seed, const struct soak_options *options,
	      struct soak_result *result);

G_END_DECLS

#endif
