/*
 * The time line as a picture: a lane a process, a mark an event, the events
 * of one request joined by a line of its own colour.
 *
 * Distance isn't time: events of one request lie microseconds apart and
 * requests seconds. Each step to the right is one event further, wider after
 * a longer pause, and the moments stand below.
 */
#include <auburnstile/internal/timeline_parts.h>

#include <math.h>
#include <string.h>

#define LANE_HEIGHT 46
#define LANE_LABELLED 84 /* with labels, which slope down from the marks */
#define LEFT 150 /* room for the processes' names */
#define RIGHT 40
#define WIDTH 1180.0 /* at least: the legend in one line */
#define TOP 96 /* title and legend */
#define BOTTOM 40
#define STEP 14.0 /* between two events, at least */
#define STEP_MORE 9.0 /* for each power of ten of us between them */
#define LABELS_UP_TO 80 /* events; more would overlap */
#define TICK_DISTANCE 110.0

/* How an event is drawn. */
struct look {
	const char *label;
	const char *colour;
	enum { CIRCLE, SQUARE, DIAMOND, CROSS } shape;
};

static const struct look looks[] = {
	{ "request in, answer out", "#1b6ca8", CIRCLE },
	{ "relayed", "#7a4fb5", DIAMOND },
	{ "sent to an upstream, answered", "#2e8b57", SQUARE },
	{ "tried again, hedged", "#d98200", DIAMOND },
	{ "refused, failed, cancelled", "#c0392b", CROSS },
	{ "process, configuration, membership", "#6b7280", SQUARE },
};

static const guint8 look_of[AUB_EVENT_TYPE_COUNT] = {
	[AUB_EVENT_STARTED] = 5,    [AUB_EVENT_STOPPING] = 5,
	[AUB_EVENT_STOPPED] = 5,    [AUB_EVENT_VIEW] = 5,
	[AUB_EVENT_CONFIG] = 5,	    [AUB_EVENT_ASSIGNMENT] = 5,
	[AUB_EVENT_MEMBER] = 5,	    [AUB_EVENT_STORE] = 5,
	[AUB_EVENT_ARRIVED] = 0,    [AUB_EVENT_RELAYED] = 1,
	[AUB_EVENT_DISPATCHED] = 2, [AUB_EVENT_ANSWERED] = 2,
	[AUB_EVENT_RETRIED] = 3,    [AUB_EVENT_HEDGED] = 3,
	[AUB_EVENT_CANCELLED] = 4,  [AUB_EVENT_REFUSED] = 4,
	[AUB_EVENT_FINISHED] = 0,   [AUB_EVENT_PROBED] = 2,
	[AUB_EVENT_UPSTREAM] = 5,   [AUB_EVENT_KEYS] = 5,
	[AUB_EVENT_FAILED] = 4,
};

struct picture {
	const struct aub_timeline *timeline;
	const GPtrArray *entries;
	double *x; /* by entry */
	guint *row; /* by process; G_MAXUINT where it has no event shown */
	guint rows;
	int lane; /* height of one */
	double width;
	double height;
	GString *out;
};

static const struct aub_timeline_entry *entry_at(const struct picture *picture,
						 guint index)
{
	return picture->entries->pdata[index];
}

static bool is_labelled(const struct picture *picture)
{
	return picture->entries->len <= LABELS_UP_TO;
}

static double lane_y(const struct picture *picture, guint process)
{
	return TOP + picture->lane * (picture->row[process] + 0.5);
}

/* Columns by order and pause; rows by process, entries before controls. */
static void arrange(struct picture *picture)
{
	guint processes = picture->timeline->lanes->len;
	double x = LEFT + STEP;

	picture->x = g_new0(double, picture->entries->len + 1);
	picture->row = g_new(guint, processes + 1);
	for (guint p = 0; p < processes; p++)
		picture->row[p] = G_MAXUINT;
	for (guint i = 0; i < picture->entries->len; i++) {
		const struct aub_timeline_entry *entry = entry_at(picture, i);

		if (i) {
			gint64 pause = entry->time_us -
				       entry_at(picture, i - 1)->time_us;

			x += STEP +
			     STEP_MORE * log10(1 + (double)MAX(0, pause) / 100);
		}
		picture->x[i] = x;
		picture->row[entry->process] = 0;
	}
	for (guint p = 0; p < processes; p++)
		if (picture->row[p] != G_MAXUINT)
			picture->row[p] = picture->rows++;
	picture->width = MAX(x + RIGHT, WIDTH);
	picture->lane = is_labelled(picture) ? LANE_LABELLED : LANE_HEIGHT;
	picture->height = TOP + picture->lane * (double)picture->rows + BOTTOM;
}

static void escape(GString *out, const char *text)
{
	char *valid = g_utf8_make_valid(text, -1);
	char *escaped = g_markup_escape_text(valid, -1);

	g_string_append(out, escaped);
	g_free(escaped);
	g_free(valid);
}

static void mark(GString *out, const struct look *look, double x, double y)
{
	switch (look->shape) {
	case CIRCLE:
		g_string_append_printf(
			out,
			"<circle cx=\"%.1f\" cy=\"%.1f\" r=\"5\" "
			"fill=\"%s\"/>",
			x, y, look->colour);
		break;
	case SQUARE:
		g_string_append_printf(out,
				       "<rect x=\"%.1f\" y=\"%.1f\" "
				       "width=\"9\" height=\"9\" fill=\"%s\"/>",
				       x - 4.5, y - 4.5, look->colour);
		break;
	case DIAMOND:
		g_string_append_printf(out,
				       "<path d=\"M%.1f %.1fl6 6l-6 6l-6 -6z\" "
				       "fill=\"%s\"/>",
				       x, y - 6, look->colour);
		break;
	case CROSS:
		g_string_append_printf(out,
				       "<path d=\"M%.1f %.1fl10 10m0 -10l-10 "
				       "10\" stroke=\"%s\" stroke-width=\"3\" "
				       "fill=\"none\"/>",
				       x - 5, y - 5, look->colour);
		break;
	}
}

static void draw_legend(struct picture *picture)
{
	double x = LEFT;

	g_string_append_printf(picture->out,
			       "<text x=\"16\" y=\"28\" font-size=\"17\" "
			       "font-weight=\"bold\">Time line: %u events of "
			       "%u processes</text>\n"
			       "<text x=\"16\" y=\"48\" fill=\"#6b7280\">from "
			       "left to right in order of cause; distance is "
			       "not to scale, the moments are below (ms after "
			       "the first event)</text>\n",
			       picture->entries->len, picture->rows);
	for (guint i = 0; i < G_N_ELEMENTS(looks); i++) {
		mark(picture->out, &looks[i], x, 70);
		g_string_append_printf(picture->out,
				       "<text x=\"%.1f\" y=\"74\">%s</text>\n",
				       x + 10, looks[i].label);
		x += 28 + 6.3 * (double)strlen(looks[i].label);
	}
}

static void draw_lanes(struct picture *picture)
{
	for (guint p = 0; p < picture->timeline->lanes->len; p++) {
		const struct aub_timeline_lane *lane =
			aub_timeline_lane_at(picture->timeline, p);
		double y;

		if (picture->row[p] == G_MAXUINT)
			continue;
		y = lane_y(picture, p);
		if (picture->row[p] % 2 == 0)
			g_string_append_printf(
				picture->out,
				"<rect x=\"0\" y=\"%.1f\" width=\"%.1f\" "
				"height=\"%d\" fill=\"#f3f5f8\"/>",
				y - picture->lane / 2.0, picture->width,
				picture->lane);
		g_string_append_printf(
			picture->out,
			"<line x1=\"%d\" y1=\"%.1f\" x2=\"%.1f\" y2=\"%.1f\" "
			"stroke=\"#d5d9e0\"/><text x=\"16\" y=\"%.1f\" "
			"font-weight=\"bold\">",
			LEFT, y, picture->width - RIGHT / 2.0, y, y - 1);
		escape(picture->out, lane->name);
		g_string_append_printf(
			picture->out,
			"</text><text x=\"16\" y=\"%.1f\" fill=\"#6b7280\" "
			"font-size=\"10\">",
			y + 12);
		escape(picture->out, lane->zone);
		g_string_append(picture->out, "</text>\n");
	}
}

/* A colour a request, the same in every picture of it. */
static void request_colour(guint64 request, char colour[24])
{
	guint32 hash = (guint32)((request * 0x9E3779B97F4A7C15u) >> 33);

	g_snprintf(colour, 24, "hsl(%u,62%%,45%%)", hash % 360);
}

static void draw_requests(struct picture *picture)
{
	GHashTable *last = g_hash_table_new(g_int64_hash, g_int64_equal);

	for (guint i = 0; i < picture->entries->len; i++) {
		const struct aub_timeline_entry *entry = entry_at(picture, i);
		gpointer before;
		char colour[24];
		guint j;

		if (!entry->event.request)
			continue;
		before = g_hash_table_lookup(last, &entry->event.request);
		g_hash_table_insert(last, (gpointer)&entry->event.request,
				    GUINT_TO_POINTER(i + 1));
		if (!before)
			continue;
		j = GPOINTER_TO_UINT(before) - 1;
		request_colour(entry->event.request, colour);
		g_string_append_printf(
			picture->out,
			"<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" "
			"y2=\"%.1f\" stroke=\"%s\" stroke-width=\"2\" "
			"stroke-opacity=\"0.65\"/>\n",
			picture->x[j],
			lane_y(picture, entry_at(picture, j)->process),
			picture->x[i], lane_y(picture, entry->process), colour);
	}
	g_hash_table_unref(last);
}

/* The whole event, shown where the pointer rests on its mark. */
static void draw_title(struct picture *picture,
		       const struct aub_timeline_entry *entry)
{
	const struct aub_event *event = &entry->event;

	g_string_append(picture->out, "<title>");
	escape(picture->out,
	       aub_timeline_process_name(picture->timeline, entry->process));
	g_string_append_printf(picture->out, ": %s",
			       aub_event_type_name(event->type));
	if (event->request)
		g_string_append_printf(picture->out,
				       "\nrequest %016" G_GINT64_MODIFIER "x",
				       event->request);
	g_string_append_printf(
		picture->out, "\n+%.3f ms, number %" G_GINT64_FORMAT "\n",
		(double)(entry->time_us - entry_at(picture, 0)->time_us) / 1000,
		event->number);
	escape(picture->out, event->upstream);
	g_string_append_c(picture->out, ' ');
	escape(picture->out, event->peer);
	g_string_append_c(picture->out, ' ');
	escape(picture->out, event->text);
	g_string_append(picture->out, "</title>");
}

static void draw_label(struct picture *picture, guint index)
{
	const struct aub_timeline_entry *entry = entry_at(picture, index);
	const struct aub_event *event = &entry->event;

	g_string_append_printf(
		picture->out,
		"<text transform=\"translate(%.1f %.1f) rotate(38)\" "
		"font-size=\"9\" fill=\"#374151\">",
		picture->x[index] + 4, lane_y(picture, entry->process) + 11);
	escape(picture->out, *event->upstream ?
				     event->upstream :
				     aub_event_type_name(event->type));
	g_string_append(picture->out, "</text>");
}

static void draw_events(struct picture *picture)
{
	for (guint i = 0; i < picture->entries->len; i++) {
		const struct aub_timeline_entry *entry = entry_at(picture, i);

		g_string_append(picture->out, "<g>");
		draw_title(picture, entry);
		mark(picture->out, &looks[look_of[entry->event.type]],
		     picture->x[i], lane_y(picture, entry->process));
		if (is_labelled(picture))
			draw_label(picture, i);
		g_string_append(picture->out, "</g>\n");
	}
}

static void draw_ticks(struct picture *picture)
{
	double bottom = picture->height - 18;
	double last = -TICK_DISTANCE;

	for (guint i = 0; i < picture->entries->len; i++) {
		double ms = (double)(entry_at(picture, i)->time_us -
				     entry_at(picture, 0)->time_us) /
			    1000;

		if (picture->x[i] - last < TICK_DISTANCE)
			continue;
		last = picture->x[i];
		g_string_append_printf(
			picture->out,
			"<line x1=\"%.1f\" y1=\"%d\" x2=\"%.1f\" y2=\"%.1f\" "
			"stroke=\"#e3e6eb\"/><text x=\"%.1f\" y=\"%.1f\" "
			"text-anchor=\"middle\" fill=\"#6b7280\">+%.2f</text>\n",
			last, TOP, last, bottom - 12, last, bottom, ms);
	}
}

char *aub_timeline_svg(const struct aub_timeline *timeline,
		       const GPtrArray *entries)
{
	struct picture picture = {
		.timeline = timeline,
		.entries = entries,
		.out = g_string_new(NULL),
	};

	arrange(&picture);
	g_string_append_printf(
		picture.out,
		"<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%.0f\" "
		"height=\"%.0f\" font-family=\"sans-serif\" "
		"font-size=\"12\">\n<rect width=\"100%%\" height=\"100%%\" "
		"fill=\"white\"/>\n",
		picture.width, picture.height);
	draw_legend(&picture);
	draw_lanes(&picture);
	draw_ticks(&picture);
	draw_requests(&picture);
	draw_events(&picture);
	g_string_append(picture.out, "</svg>\n");
	g_free(picture.x);
	g_free(picture.row);
	return g_string_free(picture.out, FALSE);
}
