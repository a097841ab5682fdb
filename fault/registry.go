package fault

import (
	"net/http"

	"github.com/hollowgrade/hollowgrade"
)

// The codes. HG1 are faults of the request, HG2 refusals for lack of capacity or time, HG3 failures
// while a request ran, HG4 faults of the idempotency key, HG5 faults of settings and published
// configuration.
const (
	MalformedBody     Code = "HG1001"
	UnknownModel      Code = "HG1002"
	BodyTooLarge      Code = "HG1003"
	BadHeader         Code = "HG1004"
	NoKey             Code = "HG1005"
	WrongKey          Code = "HG1006"
	UnknownService    Code = "HG1007"
	PromptTooLong     Code = "HG1008"
	KeyNeeded         Code = "HG1009"
	SlowBody          Code = "HG1010"
	NoSuchPath        Code = "HG1011"
	NoRoute           Code = "HG1012"
	HeadersTooLarge   Code = "HG1013"
	WrongMethod       Code = "HG1014"
	Overloaded        Code = "HG2001"
	CannotMakeIt      Code = "HG2002"
	NoUpstream        Code = "HG2003"
	OrganisationLimit Code = "HG2004"
	Draining          Code = "HG2005"
	NoConfiguration   Code = "HG2006"
	MayNotWait        Code = "HG2007"
	GroupBusy         Code = "HG2008"
	StaleConfig       Code = "HG2009"
	Quarantined       Code = "HG2010"
	Evacuated         Code = "HG2011"
	DeadlinePassed    Code = "HG3001"
	UpstreamLost      Code = "HG3002"
	AnswerCut         Code = "HG3003"
	CallerGone        Code = "HG3004"
	UpstreamRefused   Code = "HG3005"
	RetriesSpent      Code = "HG3006"
	UpstreamFailed    Code = "HG3007"
	Internal          Code = "HG3099"
	KeyRunning        Code = "HG4001"
	KeyReused         Code = "HG4002"
	KeyFinished       Code = "HG4003"
	KeyUnknown        Code = "HG4004"
	KeyOwnerAway      Code = "HG4005"
	ClaimLapsed       Code = "HG4006"
	BadSetting        Code = "HG5001"
	BadPolicy         Code = "HG5002"
	LostRace          Code = "HG5003"
	PublishUnknown    Code = "HG5004"
	BadRecord         Code = "HG5005"
	LogAway           Code = "HG5006"
)

const (
	first              = "0.1" // the release that introduced a code
	second             = "0.2"
	third              = "0.3"
	fourth             = "0.4"
	statusClientClosed = 499 // customary for a caller that closed its connection
)

// Registry lists every code.
var Registry = []Doc{
	{MalformedBody, "The body cannot be read", "The body is not JSON of the documented shape. The message names the field and the type that is expected. Correct the body and send it again.", first, Caller, hollowgrade.NotRun, http.StatusBadRequest},
	{UnknownModel, "No such model", "The published configuration names no model of this name. Nothing was sent to an engine.", first, Caller, hollowgrade.NotRun, http.StatusNotFound},
	{BodyTooLarge, "The body is over the limit", "The body is larger than the entry's max_body_bytes. Nothing was sent to an upstream.", first, Caller, hollowgrade.NotRun, http.StatusRequestEntityTooLarge},
	{BadHeader, "A header cannot be used", "A header has a value that is not allowed: the message names the header and what it may hold. An allowed time must be a positive duration such as 1500ms or 30s, and a longer one than the policy gives is cut to the policy's.", first, Caller, hollowgrade.NotRun, http.StatusBadRequest},
	{NoKey, "No bearer key", "The request carries no Authorization header of the form 'Bearer KEY'.", first, Caller, hollowgrade.NotRun, http.StatusUnauthorized},
	{WrongKey, "The bearer key is not known", "The SHA-256 digest of the key stands under no organisation in the published configuration. A key that was published less than a few seconds ago may not be in force yet.", first, Caller, hollowgrade.NotRun, http.StatusUnauthorized},
	{UnknownService, "No such service", "The published configuration names no plain service of this name.", first, Caller, hollowgrade.NotRun, http.StatusNotFound},
	{PromptTooLong, "No group of engines can hold the prompt", "The prompt and the tokens asked for need more memory than the largest group of engines for the model has. Waiting does not help; shorten the prompt.", first, Caller, hollowgrade.NotRun, http.StatusRequestEntityTooLarge},
	{KeyNeeded, "An idempotency key is needed", "The policy says that this request may not be repeated, so it must carry an Idempotency-Key header of 1 to 256 printable characters, of which the caller makes a new one for each new request.", first, Caller, hollowgrade.NotRun, http.StatusBadRequest},
	{SlowBody, "The body came too slowly", "The body had not arrived within the entry's body_timeout or, at a gateway, within the time that the caller waits, or before the box was stopped. Nothing was sent to an upstream.", first, Caller, hollowgrade.NotRun, http.StatusRequestTimeout},
	{NoSuchPath, "No such path", "The entry serves /v1/completions, /v1/chat/completions and /services/NAME/... only.", first, Caller, hollowgrade.NotRun, http.StatusNotFound},
	{NoRoute, "No route", "No route of the published configuration matches the host and the path. Nothing was sent to an upstream.", second, Caller, hollowgrade.NotRun, http.StatusNotFound},
	{HeadersTooLarge, "The headers are over the limit", "The headers of the request are larger than the published limit. Nothing was sent to an upstream.", second, Caller, hollowgrade.NotRun, http.StatusRequestHeaderFieldsTooLarge},
	{WrongMethod, "The path does not take this method", "The path exists, but not for this method. The Allow header lists those that it takes.", second, Caller, hollowgrade.NotRun, http.StatusMethodNotAllowed},
	{Overloaded, "The fleet is full", "Each upstream that could take the request has a full queue, names fewer requests a second than come, or has asked for rest. Come back after the time given.", first, Transient, hollowgrade.NotRun, http.StatusServiceUnavailable},
	{CannotMakeIt, "The answer would come too late", "From the queues and from the measured speed of the engines, no upstream would finish within the allowed time, so the request was refused at once instead of failing later. A gateway refuses as well what would take engines from requests that are worth more, long prompts for which no engine has memory now, and short requests that would be late while all slots are taken; the line not sent of its log has the figures. Where long prompts wait for their turn (long_wait), one is refused as soon as the engines have no time for all that wait and the others are worth more for it. Come back after the time given or allow more time.", first, Transient, hollowgrade.NotRun, http.StatusServiceUnavailable},
	{NoUpstream, "No upstream is connected", "The entry has no connection to a live upstream that serves this model or service.", first, Operator, hollowgrade.NotRun, http.StatusServiceUnavailable},
	{OrganisationLimit, "The organisation is at its limit", "The organisation has as many requests or tokens in flight as its published limits allow. Come back after the time given.", first, Caller, hollowgrade.NotRun, http.StatusTooManyRequests},
	{Draining, "This box is being stopped", "The box finishes what it holds and takes nothing new. Ask again: the balancer leads to another box.", first, Transient, hollowgrade.NotRun, http.StatusServiceUnavailable},
	{NoConfiguration, "No configuration is in force yet", "The box has not yet read a configuration from the platform's log or from a peer.", first, Operator, hollowgrade.NotRun, http.StatusServiceUnavailable},
	{MayNotWait, "The request may not wait and there is no room now", "The policy says that this request may not queue, and every upstream is busy.", first, Transient, hollowgrade.NotRun, http.StatusServiceUnavailable},
	{GroupBusy, "The group of engines could not be reserved in time", "The prompt needs the memory of several engines at once, and they did not come free together within the allowed time.", first, Transient, hollowgrade.NotRun, http.StatusServiceUnavailable},
	{StaleConfig, "The configuration may be out of date", "The box has not been able to confirm for some time that its configuration is the newest, so it cannot tell whether the key still holds or whether a route is gone; or it knows that there is a newer one, which has not reached it. Nothing was sent to an upstream. Another box may know; come back after the time given.", second, Transient, hollowgrade.NotRun, http.StatusServiceUnavailable},
	{Quarantined, "Upstreams end under this request", "Upstreams that began to run this request, the same organisation, path and body, or requests with a part that its prompt has too, ended one after another, and no run of it or with that part was answered since. It is sent to none until the time given has passed; where only two or three ended so far, one run at a time is let through. This answer was not run; an earlier attempt of the same call may have been, and then the outcome says so. Sending it again sooner brings the same answer. Change the request, or ask the operators, who see all such requests and parts with 'hollowgrade quarantine list' and can end one with 'hollowgrade quarantine lift'.", third, Operator, hollowgrade.NotRun, http.StatusServiceUnavailable},
	{Evacuated, "The upstreams are being evacuated", "Operators are emptying every data hall in which the service has an upstream that could take the request, so that nothing is sent there. It has not run. Come back after the time given; 'hollowgrade config status' shows the data halls.", fourth, Operator, hollowgrade.NotRun, http.StatusServiceUnavailable},
	{DeadlinePassed, "The allowed time has passed", "The request was given up at its deadline, and what ran of it was cancelled at the upstream. The outcome says whether any of it ran.", first, Transient, hollowgrade.Failed, http.StatusGatewayTimeout},
	{UpstreamLost, "The upstream was lost", "The upstream, or the agent beside it, went away while the request was there, and the policy allows no second run.", first, Transient, hollowgrade.Unknown, http.StatusBadGateway},
	{AnswerCut, "The answer was cut short", "The answer ended before its last token. What was received is not the whole answer.", first, Transient, hollowgrade.Failed, http.StatusBadGateway},
	{CallerGone, "The caller went away", "The caller closed its connection before the answer was complete. The work was cancelled unless it carries an idempotency key.", first, Caller, hollowgrade.Failed, statusClientClosed},
	{UpstreamRefused, "The upstream refused the request", "The upstream answered with an error of its own, which the message repeats.", first, Operator, hollowgrade.Failed, http.StatusBadGateway},
	{RetriesSpent, "The retry budget is spent", "The request failed on one upstream and could have been tried on another, but too large a part of the recent traffic was retries already.", first, Transient, hollowgrade.Failed, http.StatusServiceUnavailable},
	{UpstreamFailed, "The upstream failed on the request", "The upstream answered that it failed. It may have run a part of the request.", second, Transient, hollowgrade.Failed, http.StatusBadGateway},
	{Internal, "Internal error", "Something happened that should not. The log of the box has the details under the request id.", first, Operator, hollowgrade.Unknown, http.StatusInternalServerError},
	{KeyRunning, "A request with this key is running", "A request with the same idempotency key and the same body has been accepted and has not ended. Nothing was run again. Come back after the time given for its answer.", first, Transient, hollowgrade.Unknown, http.StatusConflict},
	{KeyReused, "The key belongs to another body", "The idempotency key was used before with another body. Nothing was run for this request. Make a new key for a new request.", first, Caller, hollowgrade.NotRun, http.StatusUnprocessableEntity},
	{KeyFinished, "The request with this key has finished", "The request ran to its end under this key, and its answer is no longer kept. It was not run again.", first, Caller, hollowgrade.Finished, http.StatusConflict},
	{KeyUnknown, "Whether this key has run is not known", "The box that kept the record of this key was lost. The request may have run, so it is not run again under this key until the time given has passed. Check at the receiving end before a new key is used.", first, Operator, hollowgrade.Unknown, http.StatusConflict},
	{KeyOwnerAway, "The keeper of this key cannot be reached", "The agent that keeps the record of this key does not answer, so nothing was sent on for this request. Whether an earlier request with the same key has run cannot be told now. Send it again with the same key after the time given.", first, Transient, hollowgrade.Unknown, http.StatusServiceUnavailable},
	{ClaimLapsed, "The claim on the key lapsed before the start", "The right to run the request lapsed before it was given to the upstream, as when a process was paused. It was not started.", first, Transient, hollowgrade.NotRun, http.StatusServiceUnavailable},
	{BadSetting, "A setting is wrong", "The settings file has an unknown key or a value that is not allowed. The message names file, line, key and what is allowed.", first, Operator, hollowgrade.NotRun, http.StatusInternalServerError},
	{BadPolicy, "A policy is wrong", "The policy does not compile, uses a field that does not exist, or leaves a part of the answer out. The message names line and column.", first, Operator, hollowgrade.NotRun, http.StatusInternalServerError},
	{LostRace, "Somebody else published first", "The item changed between reading and publishing. Nothing of this change is in force. Look at what is in force now and publish again.", first, Operator, hollowgrade.NotRun, http.StatusConflict},
	{PublishUnknown, "Whether the change was published is not known", "The log did not answer and could not be read back. Run 'hollowgrade config status' when the log is back, before publishing again.", first, Operator, hollowgrade.Unknown, http.StatusBadGateway},
	{LogAway, "The log cannot be read", "The platform's log does not answer, so the change was not begun. Nothing was published. Try again when the log is back; boxes go on with what they have.", first, Transient, hollowgrade.NotRun, http.StatusServiceUnavailable},
	{BadRecord, "A record of the log was passed over", "A record is malformed, has the wrong digest, or replaces a revision that is not current. Every box passes over the same records, so the configuration stays the same everywhere.", first, Operator, hollowgrade.NotRun, http.StatusInternalServerError},
}
