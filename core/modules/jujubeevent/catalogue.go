package jujubeevent

import "github.com/sirupsen/logrus"

// Numbers of log events. 1xxx routing, 11xx authentication, 2xxx steps, 21xx submissions, 3xxx idempotency keys, 4xxx weights, 5xxx configuration,
// 51xx store, 6xxx membership, 7xxx endpoints and quarantine, 8xxx process lifecycle, 9xxx duties towards the platform.
const (
	RouteDispatched Number = 1001
	RouteWaiting    Number = 1002
	RouteRefused    Number = 1003
	RequestFailed   Number = 1004
	RequestRetried  Number = 1005
	// GenerationRestarted is logged for callers' own generations; items have TextDropped.
	GenerationRestarted Number = 1006
	RouteAbsent         Number = 1007

	RequestAuthenticated Number = 1101
	RequestDenied        Number = 1102
	AuthenticationFailed Number = 1103
	SubmissionForeign    Number = 1104

	PartAccepted    Number = 2001
	PartRefused     Number = 2002
	GroupsDelivered Number = 2003
	SampleDiscarded Number = 2004
	StreamResumed   Number = 2005
	StreamFailed    Number = 2006

	SubmissionAccepted Number = 2101
	SubmissionRefused  Number = 2102
	SubmissionRead     Number = 2103
	SubmissionEnded    Number = 2104
	ItemStarted        Number = 2105
	ItemStopped        Number = 2106
	ItemEnded          Number = 2107
	ItemListed         Number = 2108
	ProgressLost       Number = 2109
	EntriesHandedOver  Number = 2110
	EntriesTaken       Number = 2111
	ItemsOffered       Number = 2112
	ItemsTaken         Number = 2113
	LoanUnconfirmed    Number = 2114
	ItemScored         Number = 2115
	TextDropped        Number = 2116
	RunSentLate        Number = 2117
	EndAcknowledged    Number = 2118
	StartsHeld         Number = 2119
	SendChecked        Number = 2120
	EndFailed          Number = 2121
	SubmissionHeld     Number = 2122
	SubmissionTooLarge Number = 2123
	SubmissionDeferred Number = 2124
	SubmissionRestored Number = 2125

	KeyForwarded    Number = 3001
	KeyUnknown      Number = 3002
	KeysHandedOver  Number = 3003
	KeysImported    Number = 3004
	KeyHandOverFail Number = 3005

	OrderSent        Number = 4001
	OrderFailed      Number = 4002
	LeaderChanged    Number = 4003
	WeightsAnnounced Number = 4004

	ConfigApplied   Number = 5001
	ConfigFetched   Number = 5002
	CheckpointMade  Number = 5003
	LogUnavailable  Number = 5004
	LogAvailable    Number = 5005
	ConfigUnusable  Number = 5006
	ListUnavailable Number = 5007

	StoreUnavailable  Number = 5101
	StoreAvailable    Number = 5102
	RecordsExpired    Number = 5103
	RecordUnusable    Number = 5104
	AppendFailed      Number = 5105
	BeatFailed        Number = 5106
	LeaseAppendFailed Number = 5107
	EndpointSeen      Number = 5108
	EndpointGone      Number = 5109
	SettingsRead      Number = 5110
	StorePathChanged  Number = 5111
	PeersTold         Number = 5112
	SourceChanged     Number = 5113
	SourceSilent      Number = 5114
	EndpointStale     Number = 5115
	DesiredCopied     Number = 5116
	ReadSlow          Number = 5117
	DoubtResolved     Number = 5118
	DoubtAbandoned    Number = 5119
	AppendAttempted   Number = 5120

	MemberChanged Number = 6001
	PeerFailed    Number = 6002

	EndpointLost      Number = 7001
	EndpointLeaving   Number = 7002
	SuspectGranted    Number = 7003
	RequestBlocked    Number = 7004
	QuarantineLifted  Number = 7005
	EndpointDrained   Number = 7006
	EndpointUnhealthy Number = 7007
	DrainEnded        Number = 7008
	EndpointLimited   Number = 7009
	RateUnusable      Number = 7010
	PermitFailed      Number = 7011
	// EndpointPathChanged and ConnectionRelayed concern this instance's links to all endpoints.
	EndpointPathChanged Number = 7012
	ConnectionRelayed   Number = 7013
	SuspectCompleted    Number = 7014

	InstanceStarted  Number = 8001
	InstanceReady    Number = 8002
	InstanceLeaving  Number = 8003
	InstanceStopped  Number = 8004
	LogLevelChanged  Number = 8005
	RequestAfterExit Number = 8006
	ServerFailed     Number = 8007
	InstanceReplaced Number = 8008
	ClientsRefused   Number = 8009
	InstancePaused   Number = 8010
	HandlerPanicked  Number = 8011

	DutyChanged    Number = 9001
	DutyCalled     Number = 9002
	UsageFixed     Number = 9003
	UsageExpired   Number = 9004
	ClockCorrected Number = 9005
	DutyYielded    Number = 9006
)

// Catalogue returns every event. A test in ctl/services/jujubedocs checks that docs/events.md matches it.
func Catalogue() []Entry {
	const (
		info  = logrus.InfoLevel
		warn  = logrus.WarnLevel
		debug = logrus.DebugLevel
	)
	return []Entry{
		{RouteDispatched, "RouteDispatched", info, "A request or stream was sent to an endpoint. The fields are the inputs of the decision."},
		{RouteWaiting, "RouteWaiting", debug, "A request waits because no endpoint has free capacity or its share is used up."},
		{RouteRefused, "RouteRefused", info, "A request was refused before it was sent; Code and RetryAfter are those of the response to the caller."},
		{RequestFailed, "RequestFailed", warn, "An attempt of a request on an endpoint failed."},
		{RequestRetried, "RequestRetried", info, "A failed attempt is retried on another endpoint."},
		{RouteAbsent, "RouteAbsent", info, "A request has no route in the desired state; Age is how long ago that is known to have been the newest. An old one is refused as not ready."},
		{GenerationRestarted, "GenerationRestarted", info, "A generation starts anew on another engine, because no engine of the software version that began its text can continue it."},
		{RequestAuthenticated, "RequestAuthenticated", debug, "A request carries a key of an organisation; Age is how long ago the read of the desired state was requested."},
		{RequestDenied, "RequestDenied", info, "A request carries no known key and was answered with 401. Problem is what it lacks; the key isn't logged."},
		{AuthenticationFailed, "AuthenticationFailed", warn, "A request was refused as not ready, because the desired state was read too long ago to tell whether its key is valid, or a version of it may have been missed."},
		{SubmissionForeign, "SubmissionForeign", info, "A request about a submission carries a key of another organisation and was answered as if the submission didn't exist."},
		{PartAccepted, "PartAccepted", info, "A trainer's step part was accepted, or taken over from an earlier attempt."},
		{PartRefused, "PartRefused", info, "A trainer's step part or pull was refused."},
		{GroupsDelivered, "GroupsDelivered", info, "Complete groups were delivered to the trainer."},
		{SampleDiscarded, "SampleDiscarded", info, "Generated tokens were discarded; Cause is the reason."},
		{StreamResumed, "StreamResumed", info, "Streams of an earlier attempt are continued."},
		{StreamFailed, "StreamFailed", warn, "A stream of a step part ended prematurely and is restarted."},
		{SubmissionAccepted, "SubmissionAccepted", info, "A submission was accepted; it is in the log. Known is true if the submission was repeated."},
		{SubmissionRefused, "SubmissionRefused", info, "A submission was not accepted; Error is the reason and whether the log may contain it nevertheless."},
		{SubmissionRead, "SubmissionRead", info, "A submission was read from the log; every instance logs this event."},
		{SubmissionEnded, "SubmissionEnded", info, "The end of a submission was read from the log."},
		{ItemStarted, "ItemStarted", info, "An item was sent to an engine. The fields are the inputs of the decision."},
		{ItemStopped, "ItemStopped", info, "A run was cancelled by this instance; Reason gives the cause."},
		{ItemEnded, "ItemEnded", info, "A run ended without being stopped by this instance; Outcome and Error describe the result."},
		{ItemListed, "ItemListed", debug, "An item's result was read from the log and has its position in the results."},
		{ProgressLost, "ProgressLost", warn, "The progress of an earlier run of an item couldn't be read; the item restarts from the beginning."},
		{EntriesHandedOver, "EntriesHandedOver", info, "Results that this leaving instance couldn't append were handed over to another instance."},
		{EntriesTaken, "EntriesTaken", info, "Results of an instance that has left were taken over and are appended by this instance."},
		{ItemsOffered, "ItemsOffered", info, "Items were offered to the gateway of their engines, the instance through which requests reach them."},
		{ItemsTaken, "ItemsTaken", info, "Items were accepted from the instance that schedules them; they run on this instance."},
		{LoanUnconfirmed, "LoanUnconfirmed", warn, "An instance didn't confirm whether it still has the items that were delegated to it."},
		{ItemScored, "ItemScored", info, "A scoring call ended. Without a Score it is retried; Failures counts the tries that failed at a server."},
		{TextDropped, "TextDropped", info, "An item starts anew, because no engine of the software version that began its text can continue it; Reason gives the cause."},
		{RunSentLate, "RunSentLate", warn, "A run was sent over a second after its start was decided, or over two seconds after the last complete read of its submission's partition."},
		{EndAcknowledged, "EndAcknowledged", info, "A caller's request to end a submission was answered; the end is on the log. Known is true if this instance knew of it."},
		{StartsHeld, "StartsHeld", info, "Items begin (Held) or cease to wait, as the view of a partition of the log is too old to start them, or go on while the store is away."},
		{SendChecked, "SendChecked", info, "The check immediately before a run or scoring call is sent. It is sent if Verdict is Current or StoreAway."},
		{EndFailed, "EndFailed", warn, "A caller's request to end a submission failed. With MayTakeEffect nothing of the submission starts here, and the end is appended until it is on the log."},
		{SubmissionHeld, "SubmissionHeld", info, "Items of a submission begin to wait, as the instance By waits for the store with its end in hand."},
		{SubmissionTooLarge, "SubmissionTooLarge", warn, "A submission was refused for lack of memory: it needs Needed bytes while it can be read, the others take Others, and LimitOf, the smallest instance, has Limit for all."},
		{SubmissionDeferred, "SubmissionDeferred", warn, "A submission is on the log, but its Needed bytes exceed this instance's Limit; other instances run its items, and this one reads it again later."},
		{SubmissionRestored, "SubmissionRestored", info, "A deferred submission was read again, as there is memory for it."},
		{StoreUnavailable, "StoreUnavailable", warn, "Reads of a topic fail. The records already read stay in use."},
		{StoreAvailable, "StoreAvailable", info, "Reads of a topic succeed again."},
		{RecordsExpired, "RecordsExpired", warn, "Records expired before this instance read them."},
		{RecordUnusable, "RecordUnusable", warn, "A record can't be decoded and is skipped, by every instance in the same way."},
		{AppendFailed, "AppendFailed", warn, "Results couldn't be appended; the append is retried after RetryAfter."},
		{BeatFailed, "BeatFailed", warn, "This instance's heartbeat couldn't be written; if that persists, the other instances consider it gone."},
		{LeaseAppendFailed, "LeaseAppendFailed", info, "A claim or renewal of the lease wasn't appended. It isn't a fault if another instance's claim came first."},
		{EndpointSeen, "EndpointSeen", info, "An endpoint's registry entry appeared or changed its state."},
		{EndpointGone, "EndpointGone", info, "An endpoint's registry entry is gone; the endpoint receives no more work."},
		{SettingsRead, "SettingsRead", info, "The platform's settings were read, at startup or after a signal."},
		{StorePathChanged, "StorePathChanged", info, "From now on the store is accessed through another instance, or directly again."},
		{PeersTold, "PeersTold", info, "Updates that couldn't be written to the store were sent directly to the other instances."},
		{SourceChanged, "SourceChanged", info, "From now on new records of the log are read through another instance, the relay, or by this instance if Source is empty."},
		{SourceSilent, "SourceSilent", warn, "The relay that reads the log for this instance didn't respond; this instance reads the log itself for a while."},
		{EndpointStale, "EndpointStale", debug, "An entry or a response has an incarnation of an endpoint that isn't, or isn't yet confirmed as, the current one; it is ignored."},
		{DesiredCopied, "DesiredCopied", warn, "The newest record of the desired state can't be used; the one in force was copied from another instance, Peer."},
		{ReadSlow, "ReadSlow", warn, "A read of a partition took over a second longer than it was to wait for records."},
		{DoubtResolved, "DoubtResolved", info, "Another instance, Peer, has told what the records of submissions say that expired before this instance read them."},
		{DoubtAbandoned, "DoubtAbandoned", warn, "No live instance has read records of submissions that expired before this one read them; it goes on with what it knows."},
		{AppendAttempted, "AppendAttempted", info, "An append whose first attempt failed. Attempts lists the paths with what is known of the effect; Ran is that of all together."},
		{KeyForwarded, "KeyForwarded", info, "A non-idempotent request was forwarded to the instance that issued its key."},
		{KeyUnknown, "KeyUnknown", warn, "The outcome of a non-idempotent request is unknown because the instance that issued its key is unreachable."},
		{KeysHandedOver, "KeysHandedOver", info, "The outcomes of non-idempotent requests were handed over to a successor."},
		{KeysImported, "KeysImported", info, "The outcomes of an instance that has shut down were taken over."},
		{KeyHandOverFail, "KeyHandOverFail", warn, "No successor accepted the outcomes; retries of those requests are answered with Unknown."},
		{OrderSent, "OrderSent", info, "An engine was ordered to load weights."},
		{OrderFailed, "OrderFailed", warn, "An order failed or its response was lost; it is sent again after a delay."},
		{LeaderChanged, "LeaderChanged", info, "This instance became, or is no longer, the leader of the weight rollout."},
		{WeightsAnnounced, "WeightsAnnounced", info, "A newer weight version of a model became known."},
		{ConfigApplied, "ConfigApplied", info, "A revision of the environment document is in force on this instance."},
		{ConfigFetched, "ConfigFetched", info, "The configuration was fetched from another instance."},
		{CheckpointMade, "CheckpointMade", info, "A checkpoint of the configuration was appended to the log."},
		{LogUnavailable, "LogUnavailable", warn, "The log doesn't respond. No configuration change is accepted meanwhile; requests continue."},
		{LogAvailable, "LogAvailable", info, "The log responds again."},
		{ConfigUnusable, "ConfigUnusable", warn, "A configuration record can't be applied; the current revision stays in force."},
		{ListUnavailable, "ListUnavailable", warn, "The instance list doesn't respond; the last list read stays in use."},
		{MemberChanged, "MemberChanged", info, "The state of an entry instance, as seen by this one, changed."},
		{PeerFailed, "PeerFailed", debug, "A message to another entry instance got no response."},
		{EndpointLost, "EndpointLost", warn, "An endpoint's process ended; the requests in flight on it become suspects."},
		{EndpointLeaving, "EndpointLeaving", info, "An endpoint is leaving and receives no new work."},
		{SuspectGranted, "SuspectGranted", info, "A suspect request may run on an endpoint, as the only suspect there."},
		{RequestBlocked, "RequestBlocked", warn, "A request was refused because its content crashed endpoints. Lift it with jujubectl quarantine lift."},
		{QuarantineLifted, "QuarantineLifted", info, "An operator lifted a quarantine."},
		{EndpointDrained, "EndpointDrained", info, "An operator drained an endpoint."},
		{DrainEnded, "DrainEnded", info, "An operator ended the drain of an endpoint."},
		{EndpointUnhealthy, "EndpointUnhealthy", debug, "The load report of an endpoint couldn't be read."},
		{EndpointLimited, "EndpointLimited", info, "An endpoint names another rate of requests that it accepts from all instances together, or none any more. Source is where this instance learned of it."},
		{RateUnusable, "RateUnusable", debug, "A response names a rate that can't be decoded; it is ignored."},
		{PermitFailed, "PermitFailed", warn, "The gateway of an endpoint that names a rate didn't respond; this instance uses its own share of the rate for a while."},
		{EndpointPathChanged, "EndpointPathChanged", warn, "This instance is cut off from the endpoints and connects to them through other instances from now on, or (Direct) reaches them again."},
		{ConnectionRelayed, "ConnectionRelayed", info, "A connection to an endpoint was opened by another instance, Peer, or couldn't be opened by others either; Error is the reason."},
		{SuspectCompleted, "SuspectCompleted", info, "An endpoint completed a request whose content is suspected of crashing endpoints; once more processes have completed it than ended, it is cleared."},
		{InstanceStarted, "InstanceStarted", info, "The process listens; it becomes ready once it has a configuration."},
		{InstanceReady, "InstanceReady", info, "The instance accepts requests from callers."},
		{InstanceLeaving, "InstanceLeaving", info, "The graceful shutdown has started; Until is the expiry of the last address response that names the instance."},
		{InstanceStopped, "InstanceStopped", info, "The process exits."},
		{LogLevelChanged, "LogLevelChanged", info, "An operator changed the log level."},
		{RequestAfterExit, "RequestAfterExit", info, "A request that arrived after the start of the shutdown was refused, with the addresses of other instances."},
		{InstanceReplaced, "InstanceReplaced", warn, "Another process with this instance's name and a later start time is running, or this machine's clock is behind; the process exits."},
		{ClientsRefused, "ClientsRefused", warn, "Clients were refused, or their connections closed, because they exceed a limit or to make room for others. The line counts those since the last one, by cause."},
		{InstancePaused, "InstancePaused", warn, "The process wasn't run for over a second; nothing starts until the log has been read since then."},
		{HandlerPanicked, "HandlerPanicked", warn, "The handler of a request failed with a panic; its connection was closed without a complete response."},
		{DutyChanged, "DutyChanged", info, "This instance may make duty calls to the platform's API from now on, or (Allowed false) no longer may; Reason gives the cause."},
		{DutyCalled, "DutyCalled", info, "A duty call to the platform's API ended; Outcome and Error describe the result."},
		{UsageFixed, "UsageFixed", info, "The usage report of a window was read from the log; its content doesn't change any more. NotFinal holds the live instances whose counts may be incomplete."},
		{UsageExpired, "UsageExpired", warn, "The usage report of a window wasn't accepted by the platform in time and isn't sent any more."},
		{ClockCorrected, "ClockCorrected", warn, "This machine's time of day differs from the median of the live instances, which is used for usage reports, or (Correction 0) no longer does."},
		{DutyYielded, "DutyYielded", warn, "This instance can't connect to the platform's API, and others can; it releases the lease, so that another instance makes the duty calls."},
		{ServerFailed, "ServerFailed", warn, "A listener failed; the process exits."},
	}
}
