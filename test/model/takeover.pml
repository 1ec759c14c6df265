/*
 * Takeover of a partition: the former holder A, the new holder B, the peers P
 * and Q, the log, two workers and a clock. One task was accepted before B's
 * claim; A may start it on worker 0. The claim is wrong if the task ever runs
 * on both workers.
 *
 * Ages are whole ticks and saturate just beyond their bound. Bounds are closed:
 * what may happen up to a span may happen at its very end. Every message may
 * be delayed for ever, and a command that was sent may arrive any number of
 * times. Once B has taken over the running task nothing more is explored, for
 * then B never starts it. A process pauses whenever the others are scheduled before it.
 *
 * Scenario (CHANGED not set): members are A, B, P all the time.
 * Scenario (CHANGED set): A knows the members A, P, Q; then B joins, and A and
 * Q are struck off, so that the members are B, P.
 *
 * Macros that take one part of the rule out:
 *   NO_EPOCH_CHECK   workers obey a former epoch
 *   FENCE_ONE        one fenced worker is taken for all
 *   NO_WAIT          the wait after the majority is left out
 *   NEWS_TO_ONE      the wait begins when B alone has applied its claim
 *   NEWEST_SET       the majority of the newest set of members is enough
 *   STRUCK_OFF       a member that was struck off counts as reached
 *   FROM_ANSWER      freshness counts from the answer, not from the question
 *   NO_TOKEN         commands do not lapse
 *   NO_MARGIN        the wait has no margin for clocks that drift
 * Macros for what may be missing without harm:
 *   WAIT_ONLY        B reaches no worker before its wait is over
 *   FENCE_ONLY       no news spreads, so there is no wait-out
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

/* Sources of news for A: the log and the peers. */
#define LOG 0
#define B 1
#define P 2
#define Q 3
#define SOURCES 4

/* Questions of A. */
#define NONE 0
#define ASKED 1
#define ANSWERED 2

#define FRESH(s) (news_age[s] <= NEWS_PERIOD)
#define STALE (NEWS_PERIOD + 1)
#define LAPSED (COMMAND_BOUND + 1)

#ifdef CHANGED
/* A and one of P, Q are a majority of A, P, Q. */
#define A_MAJORITY (FRESH(P) || FRESH(Q))
#define IS_PEER(s) ((s) == P || (s) == Q)
#define OLD_SET_REACHED (reached[P] && reached[Q])
#define NEW_SET_REACHED (reached[B] && reached[P])
#else
/* A and one of B, P are a majority of A, B, P. */
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

#define A_MAY_ACT (!a_knows && (FRESH(LOG) || A_MAJORITY))
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

/* The former holder A. */
bool a_knows;
byte news_age[SOURCES] = STALE;
byte question[SOURCES];
byte question_age[SOURCES];
bool has_token;
byte token_age;
bool sent;
byte sent_age;

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
    news_age[s] = 0;
#else
    if
    :: question_age[s] < news_age[s] -> news_age[s] = question_age[s]
    :: else
    fi;
#endif
    question[s] = NONE;
    question_age[s] = 0
}

inline answer(s, knows)
{
    if
    :: knows -> question[s] = NONE; question_age[s] = 0
    :: else -> question[s] = ANSWERED
    fi
}

/* Drops what the worker would refuse, so that fewer states remain. */
inline forget_refused()
{
#ifdef NO_EPOCH_CHECK
    skip
#else
    has_token = false;
    token_age = 0;
    sent = false;
    sent_age = 0
#endif
}

inline reach(m)
{
    reached[m] = true;
    if
    :: !waiting && MAJORITIES_REACHED -> waiting = true
    :: else
    fi
}

/* A asks for news, and sends commands while it has some. */
active proctype holder() provided (!b_adopted)
{
    byte s;
    do
    :: d_step { question[LOG] == NONE && !a_knows -> question[LOG] = ASKED }
    :: d_step { question[B] == NONE && IS_PEER(B) && !a_knows ->
                question[B] = ASKED }
    :: d_step { question[P] == NONE && !a_knows -> question[P] = ASKED }
    :: d_step { question[Q] == NONE && IS_PEER(Q) && !a_knows ->
                question[Q] = ASKED }
    :: d_step { question[LOG] == ANSWERED -> deliver(LOG) }
    :: d_step { question[B] == ANSWERED -> deliver(B) }
    :: d_step { question[P] == ANSWERED -> deliver(P) }
    :: d_step { question[Q] == ANSWERED -> deliver(Q) }
    :: d_step { claimed && !a_knows ->
                a_knows = true; has_token = false; token_age = 0;
                for (s : 0 .. SOURCES - 1) {
                    question[s] = NONE; question_age[s] = 0;
                    news_age[s] = STALE
                }; s = 0 }
    /* A worker gives out tokens to whom it would obey. */
    :: d_step { !a_knows && !fenced[0] && (!has_token || token_age > 0) ->
                has_token = true; token_age = 0 }
    :: d_step { A_MAY_ACT && has_token && (!sent || sent_age > token_age) ->
                sent = true; sent_age = token_age }
    od
}

/* B claims, counts who has applied the claim, fences, and starts. */
active proctype new_holder() provided (!b_adopted)
{
    do
    :: d_step { !claimed -> claimed = true }
    :: d_step { claimed && !applied[B] -> applied[B] = true; reach(B) }
#ifndef WAIT_ONLY
    :: d_step { applied[B] && !fenced[0] ->
                fenced[0] = true; b_adopted = a_runs; forget_refused() }
    :: d_step { applied[B] && !fenced[1] ->
                fenced[1] = true }
#endif
    :: d_step { applied[B] && SAFE(0) && SAFE(1) && !b_adopted && !b_started ->
                b_started = true; b_runs = true; assert(!a_runs) }
    od
}

/* Worker 0 obeys A while A's token counts and no higher epoch was seen. */
active proctype worker() provided (!b_adopted)
{
    do
    :: d_step { sent &&
#ifndef NO_TOKEN
                sent_age <= COMMAND_BOUND &&
#endif
#ifndef NO_EPOCH_CHECK
                !fenced[0] &&
#endif
                true ->
                assert(!b_runs);
                a_runs = true; lease_age = 0 }
    od
}

/* The log answers with its tail. */
active proctype log() provided (!b_adopted)
{
    do
    :: d_step { question[LOG] == ASKED -> answer(LOG, claimed) }
    od
}

/* A peer applies the claim some time or never, and tells what it has applied. */
active proctype peers() provided (!b_adopted)
{
    do
    :: d_step { question[B] == ASKED -> answer(B, applied[B]) }
    :: d_step { question[P] == ASKED && !left[P] -> answer(P, applied[P]) }
    :: d_step { question[Q] == ASKED && !left[Q] -> answer(Q, applied[Q]) }
#ifndef FENCE_ONLY
    :: d_step { claimed && !applied[P] && !left[P] ->
                applied[P] = true; reach(P) }
#ifdef CHANGED
    :: d_step { claimed && !applied[Q] && !left[Q] ->
                applied[Q] = true; reach(Q) }
    /* Q writes its own leave record, and answers nobody from then on. */
    :: d_step { !left[Q] && !reached[Q] -> left[Q] = true; reach(Q) }
#ifdef STRUCK_OFF
    :: d_step { !reached[Q] -> reach(Q) }
#endif
#endif
#endif
    od
}

/* Time passes for all; the clocks of A and of the worker may be late. */
active proctype clock() provided (!b_adopted)
{
    bool a_late;
    bool worker_late;
    byte s;
    do
    :: atomic {
        if
        :: drifted < DRIFT -> a_late = true; drifted++
        :: drifted < DRIFT -> worker_late = true; drifted++
        :: true
        fi;
        d_step {
            if
            :: !a_late ->
                for (s : 0 .. SOURCES - 1) {
                    if
                    :: news_age[s] < STALE -> news_age[s]++
                    :: else
                    fi;
                    if
                    :: question[s] != NONE && question_age[s] < STALE ->
                        question_age[s]++
                    :: else
                    fi;
#ifndef FROM_ANSWER
                    /* Its answer would be stale. */
                    if
                    :: question_age[s] == STALE ->
                        question[s] = NONE; question_age[s] = 0
                    :: else
                    fi
#endif
                }
            :: else
            fi;
            if
            :: !worker_late ->
                if
                :: has_token && token_age < LAPSED -> token_age++
                :: else
                fi;
                if
                :: sent && sent_age < LAPSED -> sent_age++
                :: else
                fi;
#ifndef NO_TOKEN
                if
                :: token_age == LAPSED -> has_token = false; token_age = 0
                :: else
                fi;
                if
                :: sent_age == LAPSED -> sent = false; sent_age = 0
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
            s = 0; a_late = false; worker_late = false
        }
    }
    od
}
