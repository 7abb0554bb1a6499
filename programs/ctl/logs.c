/*
 * auburnstilectl explain REQUEST FILE...: a request's story from log files.
 *
 * Files are read line by line, twice; a gigabyte takes no more memory than a
 * page. Standard input ("-") can be read once only, so that the story then
 * lacks what happened around the request.
 */
#include "ctl.h"

#include <auburnstile/internal/log_story.h>

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PROGRESS_BYTES (256u << 20) /* read between two words of progress */

struct reading {
	struct aub_log_story *story;
	bool again; /* the second time */
	guint64 lines;
	guint64 skipped;
	guint64 bytes;
	char *first_skipped; /* "FILE:LINE" */
};

static void take_line(struct reading *reading, const char *file, guint64 number,
		      const char *line)
{
	if (reading->again) {
		aub_log_story_take_context(reading->story, line);
		return;
	}
	reading->lines++;
	if (aub_log_story_take(reading->story, line))
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

int ctl_explain_logs(const struct ctl_options *options, const char *id,
		     char **files, guint count)
{
	struct reading reading = { .story = aub_log_story_new(id) };
	int code = CTL_REFUSED;
	char *text;

	if (!read_all(&reading, files, count))
		goto out;
	if (reading.skipped)
		g_printerr("auburnstilectl: %" G_GUINT64_FORMAT
			   " of %" G_GUINT64_FORMAT
			   " lines are no log lines, the first at %s\n",
			   reading.skipped, reading.lines,
			   reading.first_skipped);
	if (!aub_log_story_size(reading.story)) {
		g_printerr("auburnstilectl: no line of request %s\n", id);
		goto out;
	}
	reading.again = true;
	if (!read_all(&reading, files, count))
		goto out;
	text = aub_log_story_text(reading.story);
	g_print("%s", text);
	g_free(text);
	code = CTL_OK;
out:
	g_free(reading.first_skipped);
	aub_log_story_free(reading.story);
	return code;
}
