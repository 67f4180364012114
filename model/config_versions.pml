/*
 * Configuration versions: two operators race with conditional updates, the
 * answer of a write may be lost, notifications arrive late and out of order,
 * instances tell each other and restart with nothing.
 *
 * Checked in every state: the version in force at an instance never falls
 * while it runs; an operator who is told "accepted" has its change in the
 * store, one who is told "conflict" has not. At the end of a run every
 * instance has the store's version. Each macro FAULT_* puts one wrong rule in.
 */
#define INSTANCES 2
#define OPERATORS 2
#define NOTICES 2

byte store_version = 1;
byte author[4]; /* operator of each version, 0 for none */
byte in_force[INSTANCES];
byte restarts = 0;
byte done = 0; /* operators that have finished */

/* Copies of versions on their way, from the store or a peer. */
chan notices[INSTANCES] = [NOTICES] of { byte };

inline offer(i, version)
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
	bool won = false;
	bool lost_answer = false;

	/* The conditional update. */
	atomic {
		if
		:: store_version == base ->
			store_version++;
			author[store_version] = id;
			won = true
		:: else
		fi
	}
	if
	:: lost_answer = true
	:: skip
	fi;
	/* What the operator is told. */
	atomic {
		if
		:: !lost_answer && won -> assert(author[base + 1] == id)
		:: !lost_answer && !won -> assert(author[base + 1] != id)
		:: lost_answer ->
#ifdef FAULT_NO_READ_BACK
			assert(author[base + 1] != id) /* told "conflict" */
#else
			/* Reads back: the change's own id decides. */
			if
			:: author[base + 1] == id -> assert(won)
			:: else -> assert(!won)
			fi
#endif
		fi;
		done++
	}
}

proctype instance(byte id)
{
	byte version;

	do
	:: notices[id]?version -> atomic { offer(id, version) }
	/* A watch or a rare read of the object API; it may be down instead. */
	:: atomic { nfull(notices[id]) -> notices[id]!store_version }
	/* A peer tells its version. */
	:: atomic {
		nfull(notices[1 - id]) && in_force[id] > 0 ->
		notices[1 - id]!in_force[id]
	}
	/* A restart has nothing and starts from a peer or the store. */
	:: atomic { restarts < 1 -> restarts++; in_force[id] = 0 }
	:: done == OPERATORS && empty(notices[id]) ->
		atomic { offer(id, store_version) };
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
