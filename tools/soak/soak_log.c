/*
 * The log of the faults of a run, beside the gateways' logs and with the same
 * clock: one JSON object a line.
 */
#include "soak.h"

#include <glib/gstdio.h>

static char *log_name(const struct soak *soak)
{
	return g_strdup_printf("%s/faults.log", soak->folder);
}

void soak_log_open(struct soak *soak)
{
	char *name = log_name(soak);

	soak->fault_log = g_fopen(name, "w");
	if (!soak->fault_log)
		g_error("cannot write %s", name);
	g_free(name);
}

void soak_log_close(struct soak *soak, bool keep)
{
	char *name = log_name(soak);

	fclose(soak->fault_log);
	if (!keep)
		g_unlink(name);
	g_free(name);
}

static void write_line(struct soak *soak, const char *fault, const char *target,
		       guint number, gint64 until_us)
{
	gint64 duration_us = MAX(until_us - soak_now(soak), 0);

	fprintf(soak->fault_log,
		"{\"t\":%" G_GINT64_FORMAT ",\"fault\":\"%s\","
		"\"target\":\"%s\",\"number\":%u,\"ms\":%" G_GINT64_FORMAT
		"}\n",
		g_get_real_time() / AUB_MS, fault, target, number,
		duration_us / AUB_MS);
	fflush(soak->fault_log);
}

void soak_log_gateway_fault(struct gateway *gateway, const char *fault,
			    gint64 until_us)
{
	write_line(gateway->soak, fault, "gateway", gateway->number, until_us);
}

void soak_log_upstream_fault(struct upstream *upstream, const char *fault)
{
	write_line(upstream->soak, fault, "upstream", upstream->number,
		   upstream->repair_us);
}

void soak_log_store_fault(struct soak *soak, const char *fault)
{
	write_line(soak, fault, "store", 0, soak->store_repair_us);
}

void soak_log_change(struct soak *soak, const char *change, guint number)
{
	write_line(soak, change, "operator", number, 0);
}
