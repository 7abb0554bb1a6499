/*
 * Answers that don't come from an upstream, with status, outcome and reason;
 * and the fingerprint of a call.
 */
#include <auburnstile/internal/answer.h>

#include <string.h>

/* HTTP statuses of refusals; 0 means 503. */
static const guint refusal_http_status[] = {
	[AUB_REFUSAL_DEADLINE_UNREACHABLE] = 504,
	[AUB_REFUSAL_CRASHES_UPSTREAMS] = 422,
};

struct aub_answer *aub_answer_not_run(guint status, const char *reason,
				      guint32 retry_after_ms)
{
	struct aub_answer *answer;

	answer = (struct aub_answer *)aub_message_new(AUB_MESSAGE_ANSWER);
	answer->outcome = AUB_OUTCOME_NOT_RUN;
	answer->status = status;
	answer->retry_after_ms = retry_after_ms;
	aub_string_set(&answer->reason, reason);
	return answer;
}

struct aub_answer *aub_answer_refusal(enum aub_refusal refusal,
				      guint32 retry_after_ms)
{
	guint status = 0;

	if (refusal < G_N_ELEMENTS(refusal_http_status))
		status = refusal_http_status[refusal];
	return aub_answer_not_run(status ? status : 503,
				  aub_refusal_name(refusal), retry_after_ms);
}

struct aub_answer *aub_answer_outcome_unknown(const char *reason)
{
	struct aub_answer *answer;

	answer = (struct aub_answer *)aub_message_new(AUB_MESSAGE_ANSWER);
	answer->outcome = AUB_OUTCOME_UNKNOWN;
	answer->status = 504;
	aub_string_set(&answer->reason, reason);
	return answer;
}

struct aub_answer *aub_answer_copy(const struct aub_answer *answer)
{
	struct aub_answer *copy;

	copy = (struct aub_answer *)aub_message_new(AUB_MESSAGE_ANSWER);
	copy->id = answer->id;
	copy->outcome = answer->outcome;
	copy->status = answer->status;
	copy->retry_after_ms = answer->retry_after_ms;
	aub_string_set(&copy->reason, answer->reason);
	for (guint i = 0; i < answer->headers->len; i++) {
		const struct aub_header *header = answer->headers->pdata[i];

		g_ptr_array_add(copy->headers,
				aub_header_new(header->name, header->value));
	}
	aub_bytes_set(&copy->body, answer->body.data, answer->body.length);
	return copy;
}

guint64 aub_call_fingerprint(const struct aub_call *call)
{
	GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA1);
	guint8 digest[20];
	gsize length = sizeof(digest);
	guint64 fingerprint;

	g_checksum_update(checksum, (const guchar *)call->method,
			  strlen(call->method) + 1);
	g_checksum_update(checksum, (const guchar *)call->path,
			  strlen(call->path) + 1);
	if (call->body.length)
		g_checksum_update(checksum, call->body.data, call->body.length);
	g_checksum_get_digest(checksum, digest, &length);
	g_checksum_free(checksum);
	memcpy(&fingerprint, digest, sizeof(fingerprint));
	return fingerprint;
}
