/*
 * Model of one request id with forwarding, retry, restart, and duplicate and
 * late delivery.
 *
 * Checked in every state: the request runs at most once, and a request answered
 * "not run" has not run and never runs. Each macro FAULT_* introduces one error
 * in the protocol, for which the check must find a violation.
 */
#define COPIES 3 /* sent by the caller or duplicated by the network */
#define ATTEMPTS_MAX 2
#define RESTARTS_MAX 1

mtype = { FRESH, IN_PROGRESS, DISPATCHED, SEALED, ANSWERED, LOST };
mtype = { DONE, SHED };

byte runs = 0;
bool answered_not_run = false;
byte incarnation = 1; /* of the issuer; incarnation 1 issued the id */
bool expired = false; /* the id's block of request ids has expired */
bool forgotten = false; /* the retention time of the record has passed */
mtype record = FRESH;
byte attempts = 0;

chan requests = [COPIES] of { bool }; /* to the issuer */
chan forwards = [COPIES] of { bool }; /* to another instance */
chan attempts_sent = [4] of { byte }; /* to the upstream; delay is unbounded */
chan results = [4] of { byte, mtype };

inline answer_not_run()
{
	answered_not_run = true;
	assert(runs == 0)
}

/* Sends each copy to the issuer or to another instance. */
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

/* Forwards a request to its issuer; may lose contact before or after that. */
active proctype forwarder()
{
end:
	do
	:: forwards?true ->
		if
		:: requests!true
		:: requests!true; skip /* answers "unknown" */
		:: skip /* not connected: answers "unknown" */
#ifdef FAULT_FORWARDER_REFUSES
		:: requests!true; answer_not_run()
#endif
		fi
	od
}

inline refuse()
{
	answer_not_run();
#ifndef FAULT_UNSEALED_REFUSAL
	record = SEALED
#endif
}

inline handle_request()
{
	if
	:: incarnation != 1 ->
#ifdef FAULT_RESTART_REFUSES
		answer_not_run()
#else
		skip /* answers "unknown" */
#endif
	:: incarnation == 1 && forgotten -> skip /* answers "unknown" */
	:: incarnation == 1 && !forgotten && record == FRESH ->
		if
		:: expired -> answer_not_run()
		:: !expired -> record = IN_PROGRESS
		:: !expired -> refuse()
		fi
	:: incarnation == 1 && !forgotten && record == SEALED -> answer_not_run()
	:: else -> skip /* gets the one answer, now or when it is known */
	fi
}

active proctype issuer()
{
	byte attempt;
	mtype result;
	byte restarts = 0;

end:
	do
	:: requests?true -> atomic { handle_request() }
	/*
	 * Atomic, as in the event loop: read the clock, check deadline and
	 * expiry, update the record, dispatch.
	 */
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
		:: skip /* no connection: proves "not run", may be retried */
		fi
	}
	/* The deadline passes or no attempt is left, and none is dispatched. */
	:: atomic {
		record == IN_PROGRESS -> record = SEALED; answer_not_run()
	}
#ifdef FAULT_DISPATCH_AFTER_EXPIRY
	:: atomic { record == IN_PROGRESS && expired -> answer_not_run() }
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
		:: else -> skip /* dropped: late, or of another incarnation */
		fi
	}
	/* A timeout, reset or close does not prove "not run". */
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

/* Runs an attempt, or sheds it before its start. Answers may be lost. */
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
			assert(!answered_not_run);
			if
			:: results!attempt, DONE
			:: skip
			fi
		}
		:: results!attempt, SHED
		:: skip /* the attempt is lost */
		fi
#ifdef FAULT_LIBRARY_RESENDS
	:: atomic { attempts_sent?<attempt> -> attempts_sent!attempt }
#endif
	od
}
