/* Prints rows of results as lines, as TSV and as an HTML page with plots. */
#include "bench/bench.h"

#include <stdio.h>

#define PLOT_WIDTH_PX 640
#define PLOT_ROW_HEIGHT_PX 26 /* height of one bar and its label */
#define PLOT_LEFT_PX 260

static const char column_names[] =
	"scenario\tshape\tpolicy\tload\trun\tp50_ms\tp99_ms\tp999_ms\t"
	"goodput_ratio\tlimit_p99_ms\tprobes_per_s\ttotal_work_ratio\t"
	"requests\trefused\trefused_p99_ms\tfailed\tunknown\twrong\tstarted_ratio\n";

static char *format_row(const struct bench_row *row)
{
	const struct bench_params *params = &row->params;

	return g_strdup_printf(
		"%s\t%s\t%s\t%.2f\t%u\t%.2f\t%.2f\t%.2f\t%.3f\t%.2f\t%.2f\t"
		"%.3f\t%u\t%u\t%.2f\t%u\t%u\t%u\t%.3f\n",
		params->scenario, params->shape->name, params->policy,
		params->load, params->run, row->p50_ms, row->p99_ms,
		row->p999_ms, row->goodput_ratio, row->limit_p99_ms,
		row->probes_per_s, row->total_work_ratio, row->requests,
		row->refused, row->refused_p99_ms, row->failed, row->unknown,
		row->wrong, row->started_ratio);
}

void bench_print_header(void)
{
	fputs(column_names, stdout);
}

void bench_print_row(const struct bench_row *row)
{
	char *text = format_row(row);

	fputs(text, stdout);
	fflush(stdout);
	g_free(text);
}

static void write_file(const char *file, GString *text)
{
	GError *error = NULL;

	if (!g_file_set_contents(file, text->str, -1, &error)) {
		fprintf(stderr, "%s\n", error->message);
		g_error_free(error);
	}
	g_string_free(text, TRUE);
}

void bench_write_tsv(const GArray *rows, const char *file)
{
	GString *text = g_string_new(column_names);

	for (guint i = 0; i < rows->len; i++) {
		char *line =
			format_row(&g_array_index(rows, struct bench_row, i));

		g_string_append(text, line);
		g_free(line);
	}
	write_file(file, text);
}

/* Appends a bar for the p99 latency with its label and a mark at the limit. */
static void append_bar(GString *page, const struct bench_row *row, guint line,
		       double scale)
{
	guint y = line * PLOT_ROW_HEIGHT_PX;
	double width = row->p99_ms * scale;
	double mark = PLOT_LEFT_PX + row->limit_p99_ms * scale;

	g_string_append_printf(
		page,
		"<text x=\"4\" y=\"%u\">%s, %s %.2f</text>"
		"<rect x=\"%d\" y=\"%u\" width=\"%.1f\" height=\"16\" "
		"fill=\"%s\"/><line x1=\"%.1f\" x2=\"%.1f\" y1=\"%u\" "
		"y2=\"%u\" stroke=\"#000\" stroke-width=\"2\"/>"
		"<text x=\"%.1f\" y=\"%u\">%.0f ms</text>\n",
		y + 15, row->params.policy, row->params.scenario,
		row->params.load, PLOT_LEFT_PX, y + 3, width,
		g_str_equal(row->params.policy, "auburnstile") ? "#2a7" :
								 "#99b",
		mark, mark, y + 1, y + 21, PLOT_LEFT_PX + width + 6, y + 15,
		row->p99_ms);
}

void bench_write_page(const GArray *rows, const char *file)
{
	GString *page = g_string_new(
		"<!DOCTYPE html><meta charset=\"utf-8\"><title>auburnstile: "
		"measurements</title><style>body{font:14px sans-serif}"
		"text{font:12px sans-serif}</style><h1>p99 of each run</h1>"
		"<p>The black mark shows the limit: an ideal queue without "
		"hedged requests for the same arrivals.</p>");
	double longest = 1;

	for (guint i = 0; i < rows->len; i++)
		longest = MAX(longest,
			      g_array_index(rows, struct bench_row, i).p99_ms);
	g_string_append_printf(page, "<svg width=\"%d\" height=\"%u\">\n",
			       PLOT_LEFT_PX + PLOT_WIDTH_PX + 80,
			       (rows->len + 1) * PLOT_ROW_HEIGHT_PX);
	for (guint i = 0; i < rows->len; i++)
		append_bar(page, &g_array_index(rows, struct bench_row, i), i,
			   PLOT_WIDTH_PX / longest);
	g_string_append(page, "</svg>\n");
	write_file(file, page);
}
