/*
 * A request trace from log lines that are out of order, truncated or of other
 * programs.
 */
#include <gtest/gtest.h>

#include <auburnstile/internal/request_trace.h>

#include <string>
#include <vector>

static const std::vector<std::string> lines = {
	R"({"t":1900,"node":"g1","event":"request","id":"r1","status":200,)"
	R"("reason":"","service":"s","upstream":"u2","tries":2,"ms":900})",
	R"(  3.2 g1 {"t":1400,"node":"g1","event":"attempt","id":"r1",)"
	R"("upstream":"u1","end":"lost","ms":300})",
	R"({"t":1350,"node":"g2","event":"health","upstream":"u1",)"
	R"("service":"s","was":"up","probe":"silent"})",
	R"({"t":1360,"node":"g2","event":"health","upstream":"u9",)"
	R"("service":"s","was":"up","probe":"silent"})",
	R"({"t":1500,"node":"g1","event":"request","id":"other","ms":5})",
	R"({"t":900,"node":"g1","event":"store-lost","kind":"upstreams"})",
	R"({"t":-9000,"node":"g1","event":"store-lost","kind":"too-old"})",
	"some other program's line",
	R"({"t":1901,"node":"g1","event":"requ)",
};

TEST(RequestTrace, ShowsRequestAndRelatedEvents)
{
	struct aub_request_trace *trace = aub_request_trace_new("r1");
	int rejected_lines = 0;

	for (const std::string &line : lines)
		rejected_lines +=
			!aub_request_trace_add_line(trace, line.c_str());
	EXPECT_EQ(rejected_lines, 2);
	EXPECT_EQ(aub_request_trace_size(trace), 2u);
	for (const std::string &line : lines)
		aub_request_trace_add_context_line(trace, line.c_str());
	char *text = aub_request_trace_text(trace);
	EXPECT_STREQ(text,
		     "request r1\n"
		     "    +400 ms  g1  attempt upstream=u1 end=lost ms=300\n"
		     "    +900 ms  g1  request status=200 service=s "
		     "upstream=u2 tries=2 ms=900\n"
		     "related events\n"
		     "    -100 ms  g1  store-lost kind=upstreams\n"
		     "    +350 ms  g2  health upstream=u1 service=s was=up "
		     "probe=silent\n");
	g_free(text);
	aub_request_trace_free(trace);
}

/* Guards against a refusal whose cause no related line shows. */
TEST(RequestTrace, ShowsWhatUpstreamsOfTheServiceSaid)
{
	struct aub_request_trace *trace = aub_request_trace_new("r1");
	const char *const own[] = {
		R"({"t":2000,"node":"g1","event":"not-placed","id":"r1",)"
		R"("service":"s","verdict":"limited"})",
		R"({"t":2000,"node":"g1","event":"request","id":"r1",)"
		R"("status":503,"service":"s"})",
	};
	const char *const related[] = {
		R"({"t":1800,"node":"g2","event":"upstream-limit",)"
		R"("upstream":"u1","service":"s","was":-1,"now":500})",
		R"({"t":1810,"node":"g2","event":"upstream-rest",)"
		R"("upstream":"u2","service":"other","ms":3000})",
	};

	for (const char *line : own)
		aub_request_trace_add_line(trace, line);
	for (const char *line : related)
		aub_request_trace_add_context_line(trace, line);
	char *text = aub_request_trace_text(trace);
	EXPECT_NE(strstr(text, "upstream-limit upstream=u1"), nullptr) << text;
	EXPECT_EQ(strstr(text, "upstream-rest"), nullptr) << text;
	g_free(text);
	aub_request_trace_free(trace);
}

TEST(RequestTrace, IsEmptyForUnknownRequest)
{
	struct aub_request_trace *trace = aub_request_trace_new("r7");

	for (const std::string &line : lines)
		aub_request_trace_add_line(trace, line.c_str());
	char *text = aub_request_trace_text(trace);
	EXPECT_STREQ(text, "");
	g_free(text);
	aub_request_trace_free(trace);
}

TEST(RequestTrace, LimitsNumberOfLines)
{
	struct aub_request_trace *trace = aub_request_trace_new("r1");

	for (int i = 0; i < 100000; i++)
		aub_request_trace_add_line(trace, lines[0].c_str());
	EXPECT_EQ(aub_request_trace_size(trace), 1000u);
	aub_request_trace_free(trace);
}
