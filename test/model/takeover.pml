/*
 * Model of the takeover of a partition: the previous holder A, the new holder
 * B, the peers P and Q, the log, two workers and a clock. One task was accepted
 * before B's claim; A may start it on worker 0. The assertions fail if the task
 * ever runs on both workers.
 *
 * Ages are whole ticks and saturate one tick beyond their bound. Bounds are
 * inclusive: what may happen within a duration may also happen at its end. Any
 * message may be delayed indefinitely, and a command that was sent may arrive
 * any number of times. Exploration stops once B has adopted the running task,
 * because B then never starts it. A process pauses while it is not scheduled.
 *
 * Scenario (CHANGED not set): the members are A, B, P at all times.
 * Scenario (CHANGED set): A knows the members A, P, Q; then B joins, and A and
 * Q are removed, so that the members are B, P.
 *
 * Macros that disable one part of the rule, so that an assertion fails:
 *   NO_EPOCH_CHECK   workers obey a previous epoch
 *   FENCE_ONE        one fenced worker makes both workers safe
 *   NO_WAIT          there is no wait after the majority
 *   NEWS_TO_ONE      the wait starts when B alone has applied its claim
 *   NEWEST_SET       a majority of the newest member set is sufficient
 *   STRUCK_OFF       a removed member counts as reached
 *   FROM_ANSWER      freshness counts from the response, not from the request
 *   NO_TOKEN         commands do not expire
 *   NO_MARGIN        the wait has no margin for clock drift
 * Macros that disable a part without affecting safety:
 *   WAIT_ONLY        B reaches no worker before the end of its wait
 *   FENCE_ONLY       no peer applies the claim, so there is no wait-out
 */

#define NEWS_PERIOD 1
#define COMMAND_BOUND 1
#define TASK_LEASE 1
#define DRIFT 1

#ifdef NO_MARGIN
#define MARGIN 0
#else
#define MARGIN DRIFT
#endif

#ifdef NO_WAIT
#define WAIT 0
#else
#define WAIT (NEWS_PERIOD + COMMAND_BOUND + TASK_LEASE + MARGIN)
#endif

/* Sources of A's freshness evidence: the log and the peers. */
#define LOG 0
#define B 1
#define P 2
#define Q 3
#define SOURCES 4

/* States of A's request to a source. */
#define NONE 0
#define REQUESTED 1
#define RESPONDED 2

#define FRESH(s) (evidence_age[s] <= NEWS_PERIOD)
#define STALE (NEWS_PERIOD + 1)
#define EXPIRED (COMMAND_BOUND + 1)

#ifdef CHANGED
/* A and either P or Q are a majority of A, P, Q. */
#define A_MAJORITY (FRESH(P) || FRESH(Q))
#define IS_PEER(s) ((s) == P || (s) == Q)
#define OLD_SET_REACHED (reached[P] && reached[Q])
#define NEW_SET_REACHED (reached[B] && reached[P])
#else
/* A and either B or P are a majority of A, B, P. */
#define A_MAJORITY (FRESH(B) || FRESH(P))
#define IS_PEER(s) ((s) == B || (s) == P)
#define OLD_SET_REACHED (reached[B] && reached[P])
#define NEW_SET_REACHED true
#endif

#ifdef NEWS_TO_ONE
#define MAJORITIES_REACHED (reached[B])
#else
#ifdef NEWEST_SET
#define MAJORITIES_REACHED (NEW_SET_REACHED)
#else
#define MAJORITIES_REACHED (OLD_SET_REACHED && NEW_SET_REACHED)
#endif
#endif

#define A_MAY_ACT (!a_superseded && (FRESH(LOG) || A_MAJORITY))
#define WAITED_OUT (waiting && wait_age > WAIT)
#ifdef FENCE_ONE
#define SAFE(w) (fenced[0] || fenced[1] || WAITED_OUT)
#else
#define SAFE(w) (fenced[w] || WAITED_OUT)
#endif

/* The log and the members. */
bool claimed;
bool applied[SOURCES];
bool left[SOURCES];
bool reached[SOURCES];

/* The previous holder A. */
bool a_superseded;
byte evidence_age[SOURCES] = STALE;
byte request[SOURCES];
byte request_age[SOURCES];
bool has_token;
byte token_age;
bool command_sent;
byte command_age;

/* The new holder B. */
bool waiting;
byte wait_age;
bool b_started;
bool b_adopted;

/* The workers. */
bool fenced[2];
bool a_runs;
byte lease_age;
bool b_runs;

byte drifted;

inline deliver(s)
{
#ifdef FROM_ANSWER
    evidence_age[s] = 0;
#else
    if
    :: request_age[s] < evidence_age[s] -> evidence_age[s] = request_age[s]
    :: else
    fi;
#endif
    request[s] = NONE;
    request_age[s] = 0
}

inline respond(s, knows_claim)
{
    if
    :: knows_claim -> request[s] = NONE; request_age[s] = 0
    :: else -> request[s] = RESPONDED
    fi
}

/* Drops commands that the worker would reject, to reduce the state space. */
inline drop_rejected()
{
#ifdef NO_EPOCH_CHECK
    skip
#else
    has_token = false;
    token_age = 0;
    command_sent = false;
    command_age = 0
#endif
}

inline mark_reached(m)
{
    reached[m] = true;
    if
    :: !waiting && MAJORITIES_REACHED -> waiting = true
    :: else
    fi
}

/* A requests freshness evidence and sends commands while it may act. */
active proctype holder() provided (!b_adopted)
{
    byte s;
    do
    :: d_step { request[LOG] == NONE && !a_superseded ->
                request[LOG] = REQUESTED }
    :: d_step { request[B] == NONE && IS_PEER(B) && !a_superseded ->
                request[B] = REQUESTED }
    :: d_step { request[P] == NONE && !a_superseded -> request[P] = REQUESTED }
    :: d_step { request[Q] == NONE && IS_PEER(Q) && !a_superseded ->
                request[Q] = REQUESTED }
    :: d_step { request[LOG] == RESPONDED -> deliver(LOG) }
    :: d_step { request[B] == RESPONDED -> deliver(B) }
    :: d_step { request[P] == RESPONDED -> deliver(P) }
    :: d_step { request[Q] == RESPONDED -> deliver(Q) }
    :: d_step { claimed && !a_superseded ->
                a_superseded = true; has_token = false; token_age = 0;
                for (s : 0 .. SOURCES - 1) {
                    request[s] = NONE; request_age[s] = 0;
                    evidence_age[s] = STALE
                }; s = 0 }
    /* A worker issues tokens only to the holder that it obeys. */
    :: d_step { !a_superseded && !fenced[0] && (!has_token || token_age > 0) ->
                has_token = true; token_age = 0 }
    :: d_step { A_MAY_ACT && has_token &&
                (!command_sent || command_age > token_age) ->
                command_sent = true; command_age = token_age }
    od
}

/* B claims, counts the members that applied the claim, fences and starts. */
active proctype new_holder() provided (!b_adopted)
{
    do
    :: d_step { !claimed -> claimed = true }
    :: d_step { claimed && !applied[B] -> applied[B] = true; mark_reached(B) }
#ifndef WAIT_ONLY
    :: d_step { applied[B] && !fenced[0] ->
                fenced[0] = true; b_adopted = a_runs; drop_rejected() }
    :: d_step { applied[B] && !fenced[1] ->
                fenced[1] = true }
#endif
    :: d_step { applied[B] && SAFE(0) && SAFE(1) && !b_adopted && !b_started ->
                b_started = true; b_runs = true; assert(!a_runs) }
    od
}

/* Worker 0 obeys A while A's token is valid and it has seen no higher epoch. */
active proctype worker() provided (!b_adopted)
{
    do
    :: d_step { command_sent &&
#ifndef NO_TOKEN
                command_age <= COMMAND_BOUND &&
#endif
#ifndef NO_EPOCH_CHECK
                !fenced[0] &&
#endif
                true ->
                assert(!b_runs);
                a_runs = true; lease_age = 0 }
    od
}

/* The log responds with its tail. */
active proctype log() provided (!b_adopted)
{
    do
    :: d_step { request[LOG] == REQUESTED -> respond(LOG, claimed) }
    od
}

/*
 * A peer applies the claim at any time or never, and responds with what it has
 * applied.
 */
active proctype peers() provided (!b_adopted)
{
    do
    :: d_step { request[B] == REQUESTED -> respond(B, applied[B]) }
    :: d_step { request[P] == REQUESTED && !left[P] -> respond(P, applied[P]) }
    :: d_step { request[Q] == REQUESTED && !left[Q] -> respond(Q, applied[Q]) }
#ifndef FENCE_ONLY
    :: d_step { claimed && !applied[P] && !left[P] ->
                applied[P] = true; mark_reached(P) }
#ifdef CHANGED
    :: d_step { claimed && !applied[Q] && !left[Q] ->
                applied[Q] = true; mark_reached(Q) }
    /* Q writes its own leave record and sends no response afterwards. */
    :: d_step { !left[Q] && !reached[Q] -> left[Q] = true; mark_reached(Q) }
#ifdef STRUCK_OFF
    :: d_step { !reached[Q] -> mark_reached(Q) }
#endif
#endif
#endif
    od
}

/* Time passes for all; the clocks of A and of worker 0 may lag. */
active proctype clock() provided (!b_adopted)
{
    bool a_lags;
    bool worker_lags;
    byte s;
    do
    :: atomic {
        if
        :: drifted < DRIFT -> a_lags = true; drifted++
        :: drifted < DRIFT -> worker_lags = true; drifted++
        :: true
        fi;
        d_step {
            if
            :: !a_lags ->
                for (s : 0 .. SOURCES - 1) {
                    if
                    :: evidence_age[s] < STALE -> evidence_age[s]++
                    :: else
                    fi;
                    if
                    :: request[s] != NONE && request_age[s] < STALE ->
                        request_age[s]++
                    :: else
                    fi;
#ifndef FROM_ANSWER
                    /* The response would be stale. */
                    if
                    :: request_age[s] == STALE ->
                        request[s] = NONE; request_age[s] = 0
                    :: else
                    fi
#endif
                }
            :: else
            fi;
            if
            :: !worker_lags ->
                if
                :: has_token && token_age < EXPIRED -> token_age++
                :: else
                fi;
                if
                :: command_sent && command_age < EXPIRED -> command_age++
                :: else
                fi;
#ifndef NO_TOKEN
                if
                :: token_age == EXPIRED -> has_token = false; token_age = 0
                :: else
                fi;
                if
                :: command_age == EXPIRED ->
                    command_sent = false; command_age = 0
                :: else
                fi;
#endif
                if
                :: a_runs && lease_age < TASK_LEASE -> lease_age++
                :: a_runs && lease_age >= TASK_LEASE ->
                    a_runs = false; lease_age = 0
                :: else
                fi
            :: else
            fi;
            if
            :: waiting && wait_age <= WAIT -> wait_age++
            :: else
            fi;
            s = 0; a_lags = false; worker_lags = false
        }
    }
    od
}
