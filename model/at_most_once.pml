/*
 * One request id: forwarding, retry, restart, duplicate and late delivery.
 *
 * Checked in every state: the request runs at most once, and once a caller was
 * told "not run" it has not run and never runs. The macros FAULT_* each put one
 * wrong rule in; for each of them the check must find a violation.
 */
#define COPIES 3 /* deliveries of the same request, by the caller or network */
#define ATTEMPTS_MAX 2
#define RESTARTS_MAX 1

mtype = { FRESH, IN_PROGRESS, DISPATCHED, SEALED, ANSWERED, LOST };
mtype = { DONE, SHED };

byte runs = 0;
bool told_not_run = false;
byte incarnation = 1; /* of the issuer; the id was issued by 1 */
bool expired = false; /* the block of the id has expired */
bool forgotten = false; /* the retention of the record has passed */
mtype record = FRESH;
byte attempts = 0;

chan requests = [COPIES] of { bool }; /* to the issuer */
chan forwards = [COPIES] of { bool }; /* to another instance */
chan attempts_sent = [4] of { byte }; /* to the upstream, delivered any time */
chan results = [4] of { byte, mtype };

inline tell_not_run()
{
	told_not_run = true;
	assert(runs == 0)
}

/* Each copy goes to the issuer or to another instance. */
active proctype caller()
{
	byte sent = 0;

	do
	:: sent < COPIES ->
		if
		:: requests!true
		:: forwards!true
		fi;
		sent++
	:: sent == COPIES -> break
	od
}

/* Passes a request to its issuer, or loses contact before or after that. */
active proctype forwarder()
{
end:
	do
	:: forwards?true ->
		if
		:: requests!true
		:: requests!true; skip /* tells "unknown" */
		:: skip /* not connected: tells "unknown" */
#ifdef FAULT_FORWARDER_REFUSES
		:: requests!true; tell_not_run()
#endif
		fi
	od
}

inline refuse()
{
	tell_not_run();
#ifndef FAULT_UNSEALED_REFUSAL
	record = SEALED
#endif
}

inline take_request()
{
	if
	:: incarnation != 1 ->
#ifdef FAULT_RESTART_REFUSES
		tell_not_run()
#else
		skip /* tells "unknown" */
#endif
	:: incarnation == 1 && forgotten -> skip /* tells "unknown" */
	:: incarnation == 1 && !forgotten && record == FRESH ->
		if
		:: expired -> tell_not_run()
		:: !expired -> record = IN_PROGRESS
		:: !expired -> refuse()
		fi
	:: incarnation == 1 && !forgotten && record == SEALED -> tell_not_run()
	:: else -> skip /* waits for, or gets, the one answer */
	fi
}

active proctype issuer()
{
	byte attempt;
	mtype result;
	byte restarts = 0;

end:
	do
	:: requests?true -> atomic { take_request() }
	/* One step of the loop: clock, deadline, expiry, record, hand over. */
	:: atomic {
		record == IN_PROGRESS && attempts < ATTEMPTS_MAX &&
#ifdef FAULT_DISPATCH_AFTER_EXPIRY
		true ->
#else
		!expired ->
#endif
		attempts++;
		if
		:: attempts_sent!(incarnation * 10 + attempts);
			record = DISPATCHED
		:: skip /* no connection: proof, stays in progress */
		fi
	}
	/* The deadline passes, or no attempt is left, before a dispatch. */
	:: atomic {
		record == IN_PROGRESS -> record = SEALED; tell_not_run()
	}
#ifdef FAULT_DISPATCH_AFTER_EXPIRY
	:: atomic { record == IN_PROGRESS && expired -> tell_not_run() }
#endif
	:: atomic {
		results?attempt, result ->
		if
		:: record == DISPATCHED &&
		   attempt == incarnation * 10 + attempts ->
			if
			:: result == DONE -> record = ANSWERED
			:: result == SHED -> record = IN_PROGRESS
			fi
		:: else -> skip /* late or of another incarnation: dropped */
		fi
	}
	/* Timeout, reset or close prove nothing. */
	:: atomic {
		record == DISPATCHED ->
#ifdef FAULT_RETRY_AFTER_TIMEOUT
		record = IN_PROGRESS
#else
		record = LOST
#endif
	}
	:: atomic { !expired -> expired = true }
	:: atomic { expired && !forgotten && record != IN_PROGRESS &&
		record != DISPATCHED -> forgotten = true; record = FRESH }
	:: atomic {
		restarts < RESTARTS_MAX ->
		restarts++;
		incarnation++;
		record = FRESH;
		attempts = 0
	}
	od
}

/* Executes or refuses before start; its answer may be lost. */
active proctype upstream()
{
	byte attempt;

end:
	do
	:: attempts_sent?attempt ->
		if
		:: atomic {
			runs++;
			assert(runs <= 1);
			assert(!told_not_run);
			if
			:: results!attempt, DONE
			:: skip
			fi
		}
		:: results!attempt, SHED
		:: skip /* lost on the way */
		fi
#ifdef FAULT_LIBRARY_RESENDS
	:: atomic { attempts_sent?<attempt> -> attempts_sent!attempt }
#endif
	od
}
