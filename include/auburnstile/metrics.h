/*
 * Metrics registry of one process (counters, gauges, histograms) and its text
 * exposition format.
 *
 * A registry must be used by one thread only. Handles are small integers, so
 * that updating a series is an array access.
 */
#ifndef AUBURNSTILE_METRICS_H
#define AUBURNSTILE_METRICS_H

#include <glib.h>

G_BEGIN_DECLS

struct aub_metrics;

struct aub_metrics *aub_metrics_new(void);
void aub_metrics_free(struct aub_metrics *metrics);

/*
 * Register a series and return its handle. `name` is for example
 * "auburnstile_requests_total"; `labels` is NULL or for example
 * `service="calendar",outcome="run"`, with escaped values. Registering the
 * same name and labels again returns the same handle. Strings are copied.
 */
guint aub_metrics_counter(struct aub_metrics *metrics, const char *name,
			  const char *labels, const char *help);
guint aub_metrics_gauge(struct aub_metrics *metrics, const char *name,
			const char *labels, const char *help);

/*
 * Registers a log-linear histogram of durations in microseconds. Quantiles
 * have a relative error of about 3%.
 */
guint aub_metrics_histogram(struct aub_metrics *metrics, const char *name,
			    const char *labels, const char *help);

void aub_metrics_add(struct aub_metrics *metrics, guint handle, gint64 by);
void aub_metrics_set(struct aub_metrics *metrics, guint handle, gint64 value);
void aub_metrics_observe(struct aub_metrics *metrics, guint handle,
			 gint64 value_us);

gint64 aub_metrics_value(const struct aub_metrics *metrics, guint handle);

/*
 * Returns the estimated quantile (`quantile` is 0 to 1) of the observations,
 * in microseconds; 0 if there are none.
 */
gint64 aub_metrics_quantile(const struct aub_metrics *metrics, guint handle,
			    double quantile);

/*
 * Returns all series in the Prometheus text exposition format; the caller
 * frees it with g_free().
 */
char *aub_metrics_text(const struct aub_metrics *metrics);

/*
 * Returns the labels of a series, given as pairs of name and value and
 * terminated by NULL. Values are escaped for the text format; a NULL value
 * becomes "". The caller frees the result with g_free().
 */
char *aub_metrics_labels(const char *name, ...) G_GNUC_NULL_TERMINATED;

G_END_DECLS

#endif
