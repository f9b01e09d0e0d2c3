// Every way in which a call on a connection can end, as one value of one type, and the one place where it
// becomes the decisions' Outcome.
#pragma once

#include "state.hpp"

namespace lichenlanding::net {

enum class Ending {
    answered,    // 200 and a whole body
    failed,      // any other whole answer: it may have run
    turnedAway,  // 503 or 504 that says it never ran
    noRoom,      // no descriptor left for a connection
    refused,     // the connection was refused
    neverUp,     // it did not come up in time
    cutBefore,   // it broke before the call's last byte was written
    cutAfter,    // it broke or ended after that, without a whole answer
    garbled,     // what came back cannot be read as an answer
    timedOut,    // nothing came in time
    calledOff,   // this side gave it up
    count
};

const char* nameOf(Ending ending);

// Of a whole answer, by its code and whether it carries the mark of a call that was not begun.
Ending endingOfAnswer(int code, bool notRun);

// What the decisions are told of a forward.
Outcome outcomeOf(Ending ending);

// What the decisions are told of a vote; the platform's answers are told apart by their code alone.
Outcome outcomeOfVote(Ending ending, int code);

}  // namespace lichenlanding::net
