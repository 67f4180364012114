#include "lib/admission/startup_queue.h"

void startup_queue_init(startup_queue_t *queue, GTimeSpan now)
{
	queue->end = now + STARTUP_WAIT_MAX;
	queue->count = 0;
	TAILQ_INIT(&queue->requests);
}

void startup_request_free(startup_request_t *request)
{
	g_free(request->host);
	g_free(request->path);
	g_free(request->name);
	g_free(request->credential);
	g_bytes_unref(request->body);
	g_free(request);
}

static void unlink_request(startup_queue_t *queue, startup_request_t *request)
{
	TAILQ_REMOVE(&queue->requests, request, link);
	queue->count--;
}

startup_request_t *startup_queue_take(startup_queue_t *queue)
{
	startup_request_t *request = TAILQ_FIRST(&queue->requests);

	if (request)
		unlink_request(queue, request);
	return request;
}

void startup_queue_clear(startup_queue_t *queue)
{
	startup_request_t *request;

	while ((request = startup_queue_take(queue)))
		startup_request_free(request);
}

gboolean startup_queue_add(startup_queue_t *queue,
			   const startup_request_t *attributes, GTimeSpan now)
{
	startup_request_t *request;

	if (now >= queue->end || queue->count >= STARTUP_QUEUE_MAX)
		return FALSE;
	request = g_new0(startup_request_t, 1);
	request->host = g_strdup(attributes->host);
	request->path = g_strdup(attributes->path);
	request->name = g_strdup(attributes->name);
	request->credential = g_strdup(attributes->credential);
	request->body = g_bytes_ref(attributes->body);
	request->deadline = attributes->deadline;
	request->caller_ref = attributes->caller_ref;
	TAILQ_INSERT_TAIL(&queue->requests, request, link);
	queue->count++;
	return TRUE;
}

startup_request_t *startup_queue_take_expired(startup_queue_t *queue,
					      GTimeSpan now)
{
	startup_request_t *request;

	TAILQ_FOREACH (request, &queue->requests, link)
		if (now >= queue->end ||
		    (request->deadline && now >= request->deadline)) {
			unlink_request(queue, request);
			return request;
		}
	return NULL;
}

gboolean startup_queue_remove(startup_queue_t *queue, const void *caller_ref)
{
	startup_request_t *request;

	TAILQ_FOREACH (request, &queue->requests, link)
		if (request->caller_ref == caller_ref) {
			unlink_request(queue, request);
			startup_request_free(request);
			return TRUE;
		}
	return FALSE;
}
