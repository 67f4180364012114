/*
 * Tests the HTTP parser: messages that allow request smuggling, exceed the
 * limits or are truncated must not be accepted.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <string.h>

#include "net/http_message.h"

static http_parse_result_t parse(http_message_parser_t *parser,
				 const char *text, gsize *used)
{
	return http_message_parser_feed(parser, text, strlen(text), used);
}

static void assert_request(const char *text, http_parse_result_t expected)
{
	http_message_parser_t *parser = http_message_parser_new(TRUE);
	gsize used;

	if (parse(parser, text, &used) != expected)
		fail_msg("unexpected parse result for: %s", text);
	http_message_parser_free(parser);
}

/* Fails if a request can be smuggled inside another. */
static void ambiguous_requests_are_malformed(void **state)
{
	(void)state;
	assert_request("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
		       "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		       HTTP_PARSE_MALFORMED);
	assert_request("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
		       "Content-Length: 4\r\n\r\nabcd",
		       HTTP_PARSE_MALFORMED);
	assert_request("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
		       "Content-Length: 3\r\n\r\nabc",
		       HTTP_PARSE_MALFORMED);
	assert_request("POST / HTTP/1.1\r\nHost: a\r\n"
		       "Transfer-Encoding: chunked, identity\r\n\r\n",
		       HTTP_PARSE_MALFORMED);
	assert_request("POST / HTTP/1.1\r\nHost: a\r\n"
		       "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
		       HTTP_PARSE_MALFORMED);
	assert_request("POST / HTTP/1.1\r\nHost: a\r\n"
		       "Content-Length: -1\r\n\r\n",
		       HTTP_PARSE_MALFORMED);
	assert_request("GET / HTTP/1.1\r\nHost : a\r\n\r\n",
		       HTTP_PARSE_MALFORMED);
	assert_request("nonsense\r\n\r\n", HTTP_PARSE_MALFORMED);
}

/* Fails if chunks are not joined, or absorb part of the next request. */
static void pipelined_requests_are_separated(void **state)
{
	const char *text = "POST /a HTTP/1.1\r\nHost: a\r\n"
			   "Transfer-Encoding: chunked\r\n\r\n"
			   "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
			   "GET /b HTTP/1.1\r\nHost: a\r\n\r\n";
	http_message_parser_t *parser = http_message_parser_new(TRUE);
	http_message_t *message;
	gsize used, more;

	(void)state;
	assert_int_equal(parse(parser, text, &used), HTTP_PARSE_COMPLETE);
	message = http_message_parser_take(parser);
	assert_string_equal(message->target, "/a");
	assert_int_equal(g_bytes_get_size(message->body), 5);
	http_message_free(message);
	assert_int_equal(parse(parser, text + used, &more),
			 HTTP_PARSE_COMPLETE);
	message = http_message_parser_take(parser);
	assert_string_equal(message->target, "/b");
	assert_int_equal(used + more, strlen(text));
	http_message_free(message);
	http_message_parser_free(parser);
}

/* Fails if a message above the configured limits is accepted. */
static void limits_are_enforced(void **state)
{
	const http_message_limits_t limits = { .header_bytes_max = 40,
					       .body_bytes_max = 4 };
	http_message_parser_t *parser = http_message_parser_new(TRUE);
	gsize used;

	(void)state;
	http_message_parser_set_limits(parser, &limits);
	assert_int_equal(parse(parser,
			       "GET / HTTP/1.1\r\nHost: a\r\nLong: "
			       "0123456789012345678901234567890123456789\r\n",
			       &used),
			 HTTP_PARSE_HEADERS_TOO_LARGE);
	http_message_parser_free(parser);
	parser = http_message_parser_new(TRUE);
	http_message_parser_set_limits(parser, &limits);
	assert_int_equal(parse(parser,
			       "PUT / HTTP/1.1\r\nContent-Length: 5\r\n\r\n",
			       &used),
			 HTTP_PARSE_BODY_TOO_LARGE);
	http_message_parser_free(parser);
}

/* Fails if a response without a length is complete before the close. */
static void response_without_length_ends_at_close(void **state)
{
	http_message_parser_t *parser = http_message_parser_new(FALSE);
	http_message_t *message;
	gsize used;

	(void)state;
	assert_int_equal(parse(parser, "HTTP/1.1 200 OK\r\n\r\nabc", &used),
			 HTTP_PARSE_INCOMPLETE);
	assert_int_equal(http_message_parser_eof(parser), HTTP_PARSE_COMPLETE);
	message = http_message_parser_take(parser);
	assert_int_equal(g_bytes_get_size(message->body), 3);
	http_message_free(message);
	http_message_parser_free(parser);
}

/* Fails if a truncated response counts as complete. */
static void truncated_response_is_malformed(void **state)
{
	http_message_parser_t *parser = http_message_parser_new(FALSE);
	gsize used;

	(void)state;
	assert_int_equal(
		parse(parser, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
		      &used),
		HTTP_PARSE_INCOMPLETE);
	assert_int_equal(http_message_parser_eof(parser), HTTP_PARSE_MALFORMED);
	http_message_parser_free(parser);
}

/* Fails if a hop-by-hop or excluded header is forwarded. */
static void hop_by_hop_headers_are_not_forwarded(void **state)
{
	static const char *const excluded[] = { "X-Own", NULL };
	http_message_parser_t *parser = http_message_parser_new(TRUE);
	GString *text = g_string_new(NULL);
	http_message_t *message;
	gsize used;

	(void)state;
	assert_int_equal(parse(parser,
			       "GET / HTTP/1.1\r\nHost: a\r\n"
			       "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\n"
			       "Keep-Alive: timeout=5\r\nX-Own: 2\r\n"
			       "X-Pass: 3\r\n\r\n",
			       &used),
			 HTTP_PARSE_COMPLETE);
	message = http_message_parser_take(parser);
	http_message_append_headers(message, text, excluded);
	assert_string_equal(text->str, "Host: a\r\nX-Pass: 3\r\n");
	http_message_free(message);
	g_string_free(text, TRUE);
	http_message_parser_free(parser);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(ambiguous_requests_are_malformed),
		cmocka_unit_test(pipelined_requests_are_separated),
		cmocka_unit_test(limits_are_enforced),
		cmocka_unit_test(response_without_length_ends_at_close),
		cmocka_unit_test(truncated_response_is_malformed),
		cmocka_unit_test(hop_by_hop_headers_are_not_forwarded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
