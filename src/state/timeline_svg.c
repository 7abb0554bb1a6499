/*
 * Draws the timeline as SVG: one lane per process, one marker per event, and
 * lines in a colour of their own that connect the events of a request.
 *
 * Distances are not proportional to time, because events of one request are
 * microseconds apart and requests are seconds apart. Each event is placed to
 * the right of the previous one, further after a longer pause; the times are
 * written below.
 */
#include <auburnstile/internal/timeline_internal.h>

#include <math.h>
#include <string.h>

#define LANE_HEIGHT_PX 46
#define LABELLED_LANE_HEIGHT_PX 84 /* with labels, which slope downwards */
#define LEFT_MARGIN_PX 150 /* for the names of processes */
#define RIGHT_MARGIN_PX 40
#define WIDTH_MIN_PX 1180.0 /* the legend on one line */
#define TOP_MARGIN_PX 96 /* title and legend */
#define BOTTOM_MARGIN_PX 40
#define EVENT_DISTANCE_MIN_PX 14.0 /* between two events */
#define EVENT_DISTANCE_PER_DECADE_PX 9.0 /* for each tenfold pause */
#define LABELLED_EVENTS_MAX 80 /* with more events labels would overlap */
#define TICK_DISTANCE_MIN_PX 110.0

/* The appearance of an event. */
struct event_style {
	const char *label;
	const char *colour;
	enum { CIRCLE, SQUARE, DIAMOND, CROSS } shape;
};

static const struct event_style event_styles[] = {
	{ "request in, answer out", "#1b6ca8", CIRCLE },
	{ "relayed", "#7a4fb5", DIAMOND },
	{ "sent to an upstream, answered", "#2e8b57", SQUARE },
	{ "retried, hedged", "#d98200", DIAMOND },
	{ "refused, failed, cancelled", "#c0392b", CROSS },
	{ "process, configuration, membership", "#6b7280", SQUARE },
};

static const guint8 event_style_index[AUB_EVENT_TYPE_COUNT] = {
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

struct diagram {
	const struct aub_timeline *timeline;
	const GPtrArray *entries;
	double *x; /* by entry, px */
	guint *row; /* by process; G_MAXUINT if it has no event */
	guint rows;
	int lane_height; /* px, as are all lengths */
	double width;
	double height;
	GString *out;
};

static const struct aub_timeline_entry *entry_at(const struct diagram *diagram,
						 guint index)
{
	return diagram->entries->pdata[index];
}

static bool has_labels(const struct diagram *diagram)
{
	return diagram->entries->len <= LABELLED_EVENTS_MAX;
}

static double lane_y(const struct diagram *diagram, guint process)
{
	return TOP_MARGIN_PX +
	       diagram->lane_height * (diagram->row[process] + 0.5);
}

/*
 * Computes columns by order and pause, and rows by process in the order in
 * which they were added.
 */
static void compute_layout(struct diagram *diagram)
{
	guint processes = diagram->timeline->lanes->len;
	double x = LEFT_MARGIN_PX + EVENT_DISTANCE_MIN_PX;

	diagram->x = g_new0(double, diagram->entries->len + 1);
	diagram->row = g_new(guint, processes + 1);
	for (guint p = 0; p < processes; p++)
		diagram->row[p] = G_MAXUINT;
	for (guint i = 0; i < diagram->entries->len; i++) {
		const struct aub_timeline_entry *entry = entry_at(diagram, i);

		if (i) {
			gint64 pause = entry->time_us -
				       entry_at(diagram, i - 1)->time_us;

			x += EVENT_DISTANCE_MIN_PX +
			     EVENT_DISTANCE_PER_DECADE_PX *
				     log10(1 + (double)MAX(0, pause) / 100);
		}
		diagram->x[i] = x;
		diagram->row[entry->process] = 0;
	}
	for (guint p = 0; p < processes; p++)
		if (diagram->row[p] != G_MAXUINT)
			diagram->row[p] = diagram->rows++;
	diagram->width = MAX(x + RIGHT_MARGIN_PX, WIDTH_MIN_PX);
	diagram->lane_height =
		has_labels(diagram) ? LABELLED_LANE_HEIGHT_PX : LANE_HEIGHT_PX;
	diagram->height = TOP_MARGIN_PX +
			  diagram->lane_height * (double)diagram->rows +
			  BOTTOM_MARGIN_PX;
}

static void escape(GString *out, const char *text)
{
	char *valid = g_utf8_make_valid(text, -1);
	char *escaped = g_markup_escape_text(valid, -1);

	g_string_append(out, escaped);
	g_free(escaped);
	g_free(valid);
}

static void draw_marker(GString *out, const struct event_style *style, double x,
			double y)
{
	switch (style->shape) {
	case CIRCLE:
		g_string_append_printf(
			out,
			"<circle cx=\"%.1f\" cy=\"%.1f\" r=\"5\" "
			"fill=\"%s\"/>",
			x, y, style->colour);
		break;
	case SQUARE:
		g_string_append_printf(out,
				       "<rect x=\"%.1f\" y=\"%.1f\" "
				       "width=\"9\" height=\"9\" fill=\"%s\"/>",
				       x - 4.5, y - 4.5, style->colour);
		break;
	case DIAMOND:
		g_string_append_printf(out,
				       "<path d=\"M%.1f %.1fl6 6l-6 6l-6 -6z\" "
				       "fill=\"%s\"/>",
				       x, y - 6, style->colour);
		break;
	case CROSS:
		g_string_append_printf(out,
				       "<path d=\"M%.1f %.1fl10 10m0 -10l-10 "
				       "10\" stroke=\"%s\" stroke-width=\"3\" "
				       "fill=\"none\"/>",
				       x - 5, y - 5, style->colour);
		break;
	}
}

static void draw_legend(struct diagram *diagram)
{
	double x = LEFT_MARGIN_PX;

	g_string_append_printf(diagram->out,
			       "<text x=\"16\" y=\"28\" font-size=\"17\" "
			       "font-weight=\"bold\">Timeline: %u events of "
			       "%u processes</text>\n"
			       "<text x=\"16\" y=\"48\" fill=\"#6b7280\">left "
			       "to right in causal order; distances are not "
			       "to scale, times are below (ms after the first "
			       "event)</text>\n",
			       diagram->entries->len, diagram->rows);
	for (guint i = 0; i < G_N_ELEMENTS(event_styles); i++) {
		draw_marker(diagram->out, &event_styles[i], x, 70);
		g_string_append_printf(diagram->out,
				       "<text x=\"%.1f\" y=\"74\">%s</text>\n",
				       x + 10, event_styles[i].label);
		x += 28 + 6.3 * (double)strlen(event_styles[i].label);
	}
}

static void draw_lanes(struct diagram *diagram)
{
	for (guint p = 0; p < diagram->timeline->lanes->len; p++) {
		const struct aub_timeline_lane *lane =
			aub_timeline_lane_at(diagram->timeline, p);
		double y;

		if (diagram->row[p] == G_MAXUINT)
			continue;
		y = lane_y(diagram, p);
		if (diagram->row[p] % 2 == 0)
			g_string_append_printf(
				diagram->out,
				"<rect x=\"0\" y=\"%.1f\" width=\"%.1f\" "
				"height=\"%d\" fill=\"#f3f5f8\"/>",
				y - diagram->lane_height / 2.0, diagram->width,
				diagram->lane_height);
		g_string_append_printf(
			diagram->out,
			"<line x1=\"%d\" y1=\"%.1f\" x2=\"%.1f\" y2=\"%.1f\" "
			"stroke=\"#d5d9e0\"/><text x=\"16\" y=\"%.1f\" "
			"font-weight=\"bold\">",
			LEFT_MARGIN_PX, y,
			diagram->width - RIGHT_MARGIN_PX / 2.0, y, y - 1);
		escape(diagram->out, lane->name);
		g_string_append_printf(
			diagram->out,
			"</text><text x=\"16\" y=\"%.1f\" fill=\"#6b7280\" "
			"font-size=\"10\">",
			y + 12);
		escape(diagram->out, lane->zone);
		g_string_append(diagram->out, "</text>\n");
	}
}

/*
 * Derives the colour of a request from its id, so that it is the same in every
 * drawing.
 */
static void request_colour(guint64 request, char colour[24])
{
	guint32 hash = (guint32)((request * 0x9E3779B97F4A7C15u) >> 33);

	g_snprintf(colour, 24, "hsl(%u,62%%,45%%)", hash % 360);
}

static void draw_requests(struct diagram *diagram)
{
	GHashTable *last = g_hash_table_new(g_int64_hash, g_int64_equal);

	for (guint i = 0; i < diagram->entries->len; i++) {
		const struct aub_timeline_entry *entry = entry_at(diagram, i);
		gpointer before;
		char colour[24];
		guint previous;

		if (!entry->event.request)
			continue;
		before = g_hash_table_lookup(last, &entry->event.request);
		g_hash_table_insert(last, (gpointer)&entry->event.request,
				    GUINT_TO_POINTER(i + 1));
		if (!before)
			continue;
		previous = GPOINTER_TO_UINT(before) - 1;
		request_colour(entry->event.request, colour);
		g_string_append_printf(
			diagram->out,
			"<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" "
			"y2=\"%.1f\" stroke=\"%s\" stroke-width=\"2\" "
			"stroke-opacity=\"0.65\"/>\n",
			diagram->x[previous],
			lane_y(diagram, entry_at(diagram, previous)->process),
			diagram->x[i], lane_y(diagram, entry->process), colour);
	}
	g_hash_table_unref(last);
}

/* Adds the complete event as a tooltip of its marker. */
static void draw_title(struct diagram *diagram,
		       const struct aub_timeline_entry *entry)
{
	const struct aub_event *event = &entry->event;

	g_string_append(diagram->out, "<title>");
	escape(diagram->out,
	       aub_timeline_process_name(diagram->timeline, entry->process));
	g_string_append_printf(diagram->out, ": %s",
			       aub_event_type_name(event->type));
	if (event->request)
		g_string_append_printf(diagram->out,
				       "\nrequest %016" G_GINT64_MODIFIER "x",
				       event->request);
	g_string_append_printf(
		diagram->out, "\n+%.3f ms, number %" G_GINT64_FORMAT "\n",
		(double)(entry->time_us - entry_at(diagram, 0)->time_us) / 1000,
		event->number);
	escape(diagram->out, event->upstream);
	g_string_append_c(diagram->out, ' ');
	escape(diagram->out, event->peer);
	g_string_append_c(diagram->out, ' ');
	escape(diagram->out, event->text);
	g_string_append(diagram->out, "</title>");
}

static void draw_label(struct diagram *diagram, guint index)
{
	const struct aub_timeline_entry *entry = entry_at(diagram, index);
	const struct aub_event *event = &entry->event;

	g_string_append_printf(
		diagram->out,
		"<text transform=\"translate(%.1f %.1f) rotate(38)\" "
		"font-size=\"9\" fill=\"#374151\">",
		diagram->x[index] + 4, lane_y(diagram, entry->process) + 11);
	escape(diagram->out, *event->upstream ?
				     event->upstream :
				     aub_event_type_name(event->type));
	g_string_append(diagram->out, "</text>");
}

static void draw_events(struct diagram *diagram)
{
	for (guint i = 0; i < diagram->entries->len; i++) {
		const struct aub_timeline_entry *entry = entry_at(diagram, i);

		g_string_append(diagram->out, "<g>");
		draw_title(diagram, entry);
		draw_marker(diagram->out,
			    &event_styles[event_style_index[entry->event.type]],
			    diagram->x[i], lane_y(diagram, entry->process));
		if (has_labels(diagram))
			draw_label(diagram, i);
		g_string_append(diagram->out, "</g>\n");
	}
}

static void draw_ticks(struct diagram *diagram)
{
	double bottom = diagram->height - 18;
	double last = -TICK_DISTANCE_MIN_PX;

	for (guint i = 0; i < diagram->entries->len; i++) {
		double ms = (double)(entry_at(diagram, i)->time_us -
				     entry_at(diagram, 0)->time_us) /
			    1000;

		if (diagram->x[i] - last < TICK_DISTANCE_MIN_PX)
			continue;
		last = diagram->x[i];
		g_string_append_printf(
			diagram->out,
			"<line x1=\"%.1f\" y1=\"%d\" x2=\"%.1f\" y2=\"%.1f\" "
			"stroke=\"#e3e6eb\"/><text x=\"%.1f\" y=\"%.1f\" "
			"text-anchor=\"middle\" fill=\"#6b7280\">+%.2f</text>\n",
			last, TOP_MARGIN_PX, last, bottom - 12, last, bottom,
			ms);
	}
}

char *aub_timeline_svg(const struct aub_timeline *timeline,
		       const GPtrArray *entries)
{
	struct diagram diagram = {
		.timeline = timeline,
		.entries = entries,
		.out = g_string_new(NULL),
	};

	compute_layout(&diagram);
	g_string_append_printf(
		diagram.out,
		"<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%.0f\" "
		"height=\"%.0f\" font-family=\"sans-serif\" "
		"font-size=\"12\">\n<rect width=\"100%%\" height=\"100%%\" "
		"fill=\"white\"/>\n",
		diagram.width, diagram.height);
	draw_legend(&diagram);
	draw_lanes(&diagram);
	draw_ticks(&diagram);
	draw_requests(&diagram);
	draw_events(&diagram);
	g_string_append(diagram.out, "</svg>\n");
	g_free(diagram.x);
	g_free(diagram.row);
	return g_string_free(diagram.out, FALSE);
}
