/*
 * Commands on log files: a request's story, and the time line.
 *
 * Files are read line by line; a gigabyte takes no more memory than a page and
 * what is shown. A story reads them twice; standard input ("-") can be read
 * once only, so that it then lacks what happened around the request.
 */
#include "ctl.h"

#include <auburnstile/internal/log_events.h>
#include <auburnstile/internal/log_story.h>

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PROGRESS_BYTES (256u << 20) /* read between two words of progress */

/* One pass over all files. */
struct reading {
	/* False where the line is no line of a log. */
	bool (*take)(const char *line, void *context);
	void *context;
	bool again; /* the second pass: not over standard input */
	guint64 lines;
	guint64 skipped;
	guint64 bytes;
	char *first_skipped; /* "FILE:LINE" */
};

static void take_line(struct reading *reading, const char *file, guint64 number,
		      const char *line)
{
	reading->lines++;
	if (reading->take(line, reading->context))
		return;
	reading->skipped++;
	if (!reading->first_skipped)
		reading->first_skipped =
			g_strdup_printf("%s:%" G_GUINT64_FORMAT, file, number);
}

static bool read_file(struct reading *reading, const char *file)
{
	FILE *stream = strcmp(file, "-") ? fopen(file, "r") : stdin;
	char *line = NULL;
	size_t size = 0;
	guint64 number = 0;
	ssize_t got;

	if (!stream) {
		g_printerr("auburnstilectl: %s: %s\n", file, strerror(errno));
		return false;
	}
	while ((got = getline(&line, &size, stream)) >= 0) {
		guint64 before = reading->bytes / PROGRESS_BYTES;

		take_line(reading, file, ++number, line);
		reading->bytes += (guint64)got;
		if (reading->bytes / PROGRESS_BYTES != before)
			g_printerr("auburnstilectl: %s: %" G_GUINT64_FORMAT
				   " MB read\n",
				   file, reading->bytes >> 20);
	}
	free(line);
	if (stream != stdin)
		fclose(stream);
	return true;
}

static bool read_all(struct reading *reading, char **files, guint count)
{
	for (guint i = 0; i < count; i++) {
		if (reading->again && !strcmp(files[i], "-"))
			continue;
		if (!read_file(reading, files[i]))
			return false;
	}
	return true;
}

/* Say what was skipped, and let go of the reading. */
static void reading_end(struct reading *reading)
{
	if (reading->skipped && !reading->again)
		g_printerr("auburnstilectl: %" G_GUINT64_FORMAT
			   " of %" G_GUINT64_FORMAT
			   " lines are no log lines, the first at %s\n",
			   reading->skipped, reading->lines,
			   reading->first_skipped);
	g_free(reading->first_skipped);
}

static bool take_own(const char *line, void *context)
{
	return aub_log_story_take(context, line);
}

static bool take_context(const char *line, void *context)
{
	aub_log_story_take_context(context, line);
	return true;
}

int ctl_explain_logs(const struct ctl_options *options, const char *id,
		     char **files, guint count)
{
	struct aub_log_story *story = aub_log_story_new(id);
	struct reading own = { .take = take_own, .context = story };
	struct reading around = { .take = take_context,
				  .context = story,
				  .again = true };
	int code = CTL_REFUSED;
	char *text;

	if (!read_all(&own, files, count))
		goto out;
	if (!aub_log_story_size(story)) {
		g_printerr("auburnstilectl: no line of request %s\n", id);
		goto out;
	}
	if (!read_all(&around, files, count))
		goto out;
	text = aub_log_story_text(story);
	g_print("%s", text);
	g_free(text);
	code = CTL_OK;
out:
	reading_end(&own);
	reading_end(&around);
	aub_log_story_free(story);
	return code;
}

static bool take_event(const char *line, void *context)
{
	return aub_log_events_take(context, line);
}

struct aub_timeline *ctl_timeline_from_logs(const struct ctl_options *options,
					  char **files, guint count)
{
	struct aub_timeline *timeline = aub_timeline_new();
	struct aub_log_events *events =
		aub_log_events_new(timeline, &options->filter);
	struct reading reading = { .take = take_event, .context = events };

	if (read_all(&reading, files, count)) {
		aub_timeline_merge(timeline);
		if (aub_log_events_left_out(events))
			g_printerr("auburnstilectl: %" G_GUINT64_FORMAT
				   " further events left out; narrow by "
				   "--since, --until or --process\n",
				   aub_log_events_left_out(events));
	} else {
		aub_timeline_free(timeline);
		timeline = NULL;
	}
	reading_end(&reading);
	aub_log_events_free(events);
	return timeline;
}
