/*
 * Metrics registry.
 *
 * A histogram is log-linear: each power of two of microseconds is divided into
 * 32 equal buckets, which gives a relative error of about 3%. The text output
 * aggregates them into a fixed set of bounds to keep the number of series
 * small.
 */
#include <auburnstile/metrics.h>

#include <stdarg.h>
#include <string.h>

#define SUBBUCKET_BITS 5 /* 1 << 5 buckets per power of two */
#define SUBBUCKET_COUNT (1 << SUBBUCKET_BITS)
#define MAX_VALUE_BITS 36 /* values from 2^36 us (19 h) share a bucket */
#define BUCKET_COUNT \
	((gsize)(MAX_VALUE_BITS - SUBBUCKET_BITS + 1) * SUBBUCKET_COUNT)

enum series_kind { KIND_COUNTER, KIND_GAUGE, KIND_HISTOGRAM };

struct series {
	enum series_kind kind;
	char *name;
	char *labels; /* "" for none */
	char *help;
	gint64 value; /* histogram: number of observations */
	gint64 sum;
	guint64 *buckets; /* histogram only */
};

struct aub_metrics {
	GPtrArray *series; /* of struct series, owned */
	GHashTable *handles; /* "name{labels}" -> handle + 1 */
};

/* Upper bounds of the buckets in the text format, in microseconds. */
static const gint64 exposed_bounds_us[] = {
	100,	250,	 500,	  1000,	   1700,     2500,
	5000,	10000,	 25000,	  50000,   100000,   250000,
	500000, 1000000, 2500000, 5000000, 10000000,
};

static void series_free(void *data)
{
	struct series *series = data;

	g_free(series->name);
	g_free(series->labels);
	g_free(series->help);
	g_free(series->buckets);
	g_free(series);
}

struct aub_metrics *aub_metrics_new(void)
{
	struct aub_metrics *metrics = g_new0(struct aub_metrics, 1);

	metrics->series = g_ptr_array_new_with_free_func(series_free);
	metrics->handles =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return metrics;
}

void aub_metrics_free(struct aub_metrics *metrics)
{
	if (!metrics)
		return;
	g_ptr_array_unref(metrics->series);
	g_hash_table_unref(metrics->handles);
	g_free(metrics);
}

static guint register_series(struct aub_metrics *metrics, enum series_kind kind,
			     const char *name, const char *labels,
			     const char *help)
{
	struct series *series;
	char *key = g_strdup_printf("%s{%s}", name, labels ? labels : "");
	guint existing =
		GPOINTER_TO_UINT(g_hash_table_lookup(metrics->handles, key));

	if (existing) {
		g_free(key);
		return existing - 1;
	}
	series = g_new0(struct series, 1);
	series->kind = kind;
	series->name = g_strdup(name);
	series->labels = g_strdup(labels ? labels : "");
	series->help = g_strdup(help);
	if (kind == KIND_HISTOGRAM)
		series->buckets = g_new0(guint64, BUCKET_COUNT);
	g_ptr_array_add(metrics->series, series);
	g_hash_table_insert(metrics->handles, key,
			    GUINT_TO_POINTER(metrics->series->len));
	return metrics->series->len - 1;
}

static void append_escaped(GString *text, const char *value)
{
	for (; *value; value++) {
		if (*value == '\n') {
			g_string_append(text, "\\n");
			continue;
		}
		if (*value == '\\' || *value == '"')
			g_string_append_c(text, '\\');
		g_string_append_c(text, *value);
	}
}

char *aub_metrics_labels(const char *name, ...)
{
	GString *text = g_string_new(NULL);
	va_list pairs;

	va_start(pairs, name);
	while (name) {
		const char *value = va_arg(pairs, const char *);

		g_string_append_printf(text, "%s%s=\"", text->len ? "," : "",
				       name);
		append_escaped(text, value ? value : "");
		g_string_append_c(text, '"');
		name = va_arg(pairs, const char *);
	}
	va_end(pairs);
	return g_string_free(text, FALSE);
}

guint aub_metrics_counter(struct aub_metrics *metrics, const char *name,
			  const char *labels, const char *help)
{
	return register_series(metrics, KIND_COUNTER, name, labels, help);
}

guint aub_metrics_gauge(struct aub_metrics *metrics, const char *name,
			const char *labels, const char *help)
{
	return register_series(metrics, KIND_GAUGE, name, labels, help);
}

guint aub_metrics_histogram(struct aub_metrics *metrics, const char *name,
			    const char *labels, const char *help)
{
	return register_series(metrics, KIND_HISTOGRAM, name, labels, help);
}

static struct series *series_at(const struct aub_metrics *metrics, guint handle)
{
	g_assert(handle < metrics->series->len);
	return g_ptr_array_index(metrics->series, handle);
}

void aub_metrics_add(struct aub_metrics *metrics, guint handle, gint64 by)
{
	series_at(metrics, handle)->value += by;
}

void aub_metrics_set(struct aub_metrics *metrics, guint handle, gint64 value)
{
	series_at(metrics, handle)->value = value;
}

static guint bucket_of(gint64 value_us)
{
	guint64 value = value_us > 0 ? (guint64)value_us : 0;
	int shift;

	if (value < SUBBUCKET_COUNT)
		return (guint)value;
	shift = 63 - __builtin_clzll(value) - SUBBUCKET_BITS;
	if (shift > MAX_VALUE_BITS - SUBBUCKET_BITS - 1)
		return BUCKET_COUNT - 1;
	return (guint)((shift + 1) * SUBBUCKET_COUNT +
		       (int)((value >> shift) - SUBBUCKET_COUNT));
}

/* Returns the largest value of a bucket. */
static gint64 bucket_max(guint bucket)
{
	guint octave = bucket / SUBBUCKET_COUNT;
	gint64 column = bucket % SUBBUCKET_COUNT;

	if (octave == 0)
		return column;
	return ((column + SUBBUCKET_COUNT + 1) << (octave - 1)) - 1;
}

void aub_metrics_observe(struct aub_metrics *metrics, guint handle,
			 gint64 value_us)
{
	struct series *series = series_at(metrics, handle);

	g_assert(series->kind == KIND_HISTOGRAM);
	series->value++;
	series->sum += CLAMP(value_us, 0, (gint64)1 << MAX_VALUE_BITS);
	series->buckets[bucket_of(value_us)]++;
}

gint64 aub_metrics_value(const struct aub_metrics *metrics, guint handle)
{
	return series_at(metrics, handle)->value;
}

gint64 aub_metrics_quantile(const struct aub_metrics *metrics, guint handle,
			    double quantile)
{
	const struct series *series = series_at(metrics, handle);
	double rank = quantile * (double)series->value;
	guint64 cumulative = 0;

	for (guint i = 0; i < BUCKET_COUNT; i++) {
		cumulative += series->buckets[i];
		if (cumulative && (double)cumulative >= rank)
			return bucket_max(i);
	}
	return 0;
}

static void append_sample(GString *text, const struct series *series,
			  const char *suffix, const char *extra, gint64 value)
{
	const char *comma = *series->labels && *extra ? "," : "";

	g_string_append_printf(text, "%s%s", series->name, suffix);
	if (*series->labels || *extra)
		g_string_append_printf(text, "{%s%s%s}", series->labels, comma,
				       extra);
	g_string_append_printf(text, " %" G_GINT64_FORMAT "\n", value);
}

static void append_histogram(GString *text, const struct series *series)
{
	guint bucket = 0;
	gint64 cumulative = 0;
	char bound[48];

	for (guint i = 0; i < G_N_ELEMENTS(exposed_bounds_us); i++) {
		while (bucket < BUCKET_COUNT &&
		       bucket_max(bucket) <= exposed_bounds_us[i])
			cumulative += (gint64)series->buckets[bucket++];
		g_snprintf(bound, sizeof(bound), "le=\"%" G_GINT64_FORMAT "\"",
			   exposed_bounds_us[i]);
		append_sample(text, series, "_bucket", bound, cumulative);
	}
	append_sample(text, series, "_bucket", "le=\"+Inf\"", series->value);
	append_sample(text, series, "_sum", "", series->sum);
	append_sample(text, series, "_count", "", series->value);
}

static void append_family(GString *text, const struct aub_metrics *metrics,
			  const struct series *first)
{
	static const char *const kinds[] = {
		[KIND_COUNTER] = "counter",
		[KIND_GAUGE] = "gauge",
		[KIND_HISTOGRAM] = "histogram",
	};

	g_string_append_printf(text, "# HELP %s %s\n# TYPE %s %s\n",
			       first->name, first->help, first->name,
			       kinds[first->kind]);
	for (guint i = 0; i < metrics->series->len; i++) {
		const struct series *series = series_at(metrics, i);

		if (strcmp(series->name, first->name) != 0)
			continue;
		if (series->kind == KIND_HISTOGRAM)
			append_histogram(text, series);
		else
			append_sample(text, series, "", "", series->value);
	}
}

char *aub_metrics_text(const struct aub_metrics *metrics)
{
	GString *text = g_string_new(NULL);
	GHashTable *families = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < metrics->series->len; i++) {
		const struct series *series = series_at(metrics, i);

		if (g_hash_table_add(families, series->name))
			append_family(text, metrics, series);
	}
	g_hash_table_unref(families);
	return g_string_free(text, FALSE);
}
