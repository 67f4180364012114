/*
 * Model of configuration versions: two operators race with conditional updates,
 * the response to a write may be lost, notifications arrive late and out of
 * order, instances notify each other and lose their version in a restart.
 *
 * Checked in every state: the version in force at an instance never decreases
 * while it runs; the change of an operator who is told "accepted" is in the
 * store, that of one who is told "conflict" is not. At the end of a run every
 * instance has the store's version. Each macro FAULT_* introduces one error in
 * the protocol, for which the check must find a violation.
 */
#define INSTANCES 2
#define OPERATORS 2
#define NOTIFICATIONS_MAX 2

byte store_version = 1;
byte author[4]; /* operator of each version, 0 for none */
byte in_force[INSTANCES];
byte restarts = 0;
byte operators_finished = 0;

/* Notifications in transit, from the store or a peer. */
chan notifications[INSTANCES] = [NOTIFICATIONS_MAX] of { byte };

inline receive_version(i, version)
{
#ifdef FAULT_TAKE_ANY_VERSION
	if
	:: version > 0 ->
		assert(version >= in_force[i]);
		in_force[i] = version
	:: else
	fi
#else
	if
	:: version > in_force[i] -> in_force[i] = version
	:: else
	fi
#endif
}

proctype operator(byte id)
{
	byte base = store_version;
	bool accepted = false;
	bool response_lost = false;

	/* The conditional update. */
	atomic {
		if
		:: store_version == base ->
			store_version++;
			author[store_version] = id;
			accepted = true
		:: else
		fi
	}
	if
	:: response_lost = true
	:: skip
	fi;
	/* The operator is told the result. */
	atomic {
		if
		:: !response_lost && accepted -> assert(author[base + 1] == id)
		:: !response_lost && !accepted -> assert(author[base + 1] != id)
		:: response_lost ->
#ifdef FAULT_NO_READ_BACK
			assert(author[base + 1] != id) /* told "conflict" */
#else
			/* Reads back; the author stands for the change id. */
			if
			:: author[base + 1] == id -> assert(accepted)
			:: else -> assert(!accepted)
			fi
#endif
		fi;
		operators_finished++
	}
}

proctype instance(byte id)
{
	byte version;

	do
	:: notifications[id]?version -> atomic { receive_version(id, version) }
	/* A watch or an infrequent read; the object API may be down instead. */
	:: atomic { nfull(notifications[id]) -> notifications[id]!store_version }
	/* Notifies its peer of its version. */
	:: atomic {
		nfull(notifications[1 - id]) && in_force[id] > 0 ->
		notifications[1 - id]!in_force[id]
	}
	/* Restarts without a version; gets one from a peer or the store. */
	:: atomic { restarts < 1 -> restarts++; in_force[id] = 0 }
	:: operators_finished == OPERATORS && empty(notifications[id]) ->
		atomic { receive_version(id, store_version) };
		break
	od;
	assert(in_force[id] == store_version)
}

init {
	byte i;

	atomic {
		for (i : 1 .. OPERATORS) {
			run operator(i)
		}
		for (i : 0 .. INSTANCES - 1) {
			run instance(i)
		}
	}
}
