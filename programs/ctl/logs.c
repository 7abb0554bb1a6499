/*
 * Commands on log files: the trace of a request, and the time line.
 *
 * Files are read line by line, so that even a gigabyte needs no more memory
 * than the lines that are printed. A request trace needs two passes. Standard
 * input ("-") can be read only once, so the trace then lacks the events around
 * the request.
 */
#include "ctl.h"

#include <auburnstile/internal/log_events.h>
#include <auburnstile/internal/request_trace.h>

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Input between two progress messages. */
#define PROGRESS_INTERVAL_BYTES (256u << 20)

/* A pass over all files. */
struct scan {
	/* Returns false if the line is not a log line. */
	bool (*handle)(const char *line, void *context);
	void *context;
	bool second_pass; /* skips standard input */
	guint64 lines;
	guint64 skipped;
	guint64 bytes;
	char *first_skipped; /* "FILE:LINE" */
};

static void handle_line(struct scan *scan, const char *file, guint64 number,
			const char *line)
{
	scan->lines++;
	if (scan->handle(line, scan->context))
		return;
	scan->skipped++;
	if (!scan->first_skipped)
		scan->first_skipped =
			g_strdup_printf("%s:%" G_GUINT64_FORMAT, file, number);
}

static bool read_file(struct scan *scan, const char *file)
{
	FILE *stream = strcmp(file, "-") ? fopen(file, "r") : stdin;
	char *line = NULL;
	size_t size = 0;
	guint64 number = 0;
	ssize_t length;

	if (!stream) {
		g_printerr("auburnstilectl: %s: %s\n", file, strerror(errno));
		return false;
	}
	while ((length = getline(&line, &size, stream)) >= 0) {
		guint64 before = scan->bytes / PROGRESS_INTERVAL_BYTES;

		handle_line(scan, file, ++number, line);
		scan->bytes += (guint64)length;
		if (scan->bytes / PROGRESS_INTERVAL_BYTES != before)
			g_printerr("auburnstilectl: %s: %" G_GUINT64_FORMAT
				   " MB read\n",
				   file, scan->bytes >> 20);
	}
	free(line);
	if (stream != stdin)
		fclose(stream);
	return true;
}

static bool read_all(struct scan *scan, char **files, guint count)
{
	for (guint i = 0; i < count; i++) {
		if (scan->second_pass && !strcmp(files[i], "-"))
			continue;
		if (!read_file(scan, files[i]))
			return false;
	}
	return true;
}

/* Reports the skipped lines and frees the scan's data. */
static void scan_finish(struct scan *scan)
{
	if (scan->skipped && !scan->second_pass)
		g_printerr("auburnstilectl: %" G_GUINT64_FORMAT
			   " of %" G_GUINT64_FORMAT
			   " lines are not log lines, the first at %s\n",
			   scan->skipped, scan->lines, scan->first_skipped);
	g_free(scan->first_skipped);
}

static bool add_request_line(const char *line, void *context)
{
	return aub_request_trace_add_line(context, line);
}

static bool add_context_line(const char *line, void *context)
{
	aub_request_trace_add_context_line(context, line);
	return true;
}

int ctl_explain_logs(const struct ctl_options *options, const char *id,
		     char **files, guint count)
{
	struct aub_request_trace *trace = aub_request_trace_new(id);
	struct scan request_scan = { .handle = add_request_line,
				     .context = trace };
	struct scan context_scan = { .handle = add_context_line,
				     .context = trace,
				     .second_pass = true };
	int code = CTL_REFUSED;
	char *text;

	if (!read_all(&request_scan, files, count))
		goto out;
	if (!aub_request_trace_size(trace)) {
		g_printerr("auburnstilectl: no log line of request %s\n", id);
		goto out;
	}
	if (!read_all(&context_scan, files, count))
		goto out;
	text = aub_request_trace_text(trace);
	g_print("%s", text);
	g_free(text);
	code = CTL_OK;
out:
	scan_finish(&request_scan);
	scan_finish(&context_scan);
	aub_request_trace_free(trace);
	return code;
}

static bool add_event_line(const char *line, void *context)
{
	return aub_log_events_add_line(context, line);
}

struct aub_timeline *ctl_timeline_from_logs(const struct ctl_options *options,
					    char **files, guint count)
{
	struct aub_timeline *timeline = aub_timeline_new();
	struct aub_log_events *events =
		aub_log_events_new(timeline, &options->filter);
	struct scan scan = { .handle = add_event_line, .context = events };

	if (read_all(&scan, files, count)) {
		aub_timeline_merge(timeline);
		if (aub_log_events_dropped(events))
			g_printerr("auburnstilectl: %" G_GUINT64_FORMAT
				   " further events omitted; narrow down with "
				   "--since, --until or --process\n",
				   aub_log_events_dropped(events));
	} else {
		aub_timeline_free(timeline);
		timeline = NULL;
	}
	scan_finish(&scan);
	aub_log_events_free(events);
	return timeline;
}
