// Package result defines the numbered result codes that callers and operators
// see and that the processes send each other. A number is never reused with
// another meaning. A test checks docs/ERRORS.md against the table of codes.
package result

import (
	"fmt"
	"net/http"
	"slices"
)

// Code is a result code.
type Code uint32

// Effect is what a code says about the work that it was returned for.
type Effect string

// The effects.
const (
	// EffectDone means that the work ran and its answer is complete.
	EffectDone Effect = "done"
	// EffectNotRun means that the work did not run.
	EffectNotRun Effect = "not run"
	// EffectMayHaveRun means that the work ran, is running, or may have run in
	// part.
	EffectMayHaveRun Effect = "may have run"
	// EffectNone means that the code is not about work.
	EffectNone Effect = "none"
)

// The codes are grouped by their hundreds: 0 success, 1xx refused before any
// start, 2xx ended after a start, 3xx operators' commands, 4xx settings, 5xx
// the platform's store, 6xx between the processes.
const (
	OK Code = 0

	Malformed       Code = 101
	BadSubmissionID Code = 102
	TooLarge        Code = 103
	UnknownTeam     Code = 104
	OverQuota       Code = 105
	QueueFull       Code = 106
	DeadlinePassed  Code = 107
	CannotRun       Code = 108
	Cancelled       Code = 109
	NoOwner         Code = 110
	ShuttingDown    Code = 111
	IDFromFuture    Code = 112
	Unauthorized    Code = 113
	Forbidden       Code = 114
	NotFound        Code = 115
	Overloaded      Code = 116
	// EntryUnreachable is returned by clients, never by an entry.
	EntryUnreachable Code = 117
	NoPolicy         Code = 118
	NoEndpoint       Code = 119
	NotListed        Code = 120

	TaskFailed          Code = 201
	OutcomeUnknown      Code = 202
	DeadlineAfterStart  Code = 203
	CancelledAfterStart Code = 204
	AnswerExpired       Code = 205
	IDConflict          Code = 206
	EndpointUnreachable Code = 207
	EndpointGone        Code = 208
	StillRunning        Code = 209

	CommandRefused     Code = 301
	CommandConflict    Code = 302
	CommandUnconfirmed Code = 303
	QuerySyntax        Code = 304
	QueryField         Code = 305

	SettingsUnreadable Code = 401
	SettingsSyntax     Code = 402
	SettingsField      Code = 403
	SettingsValue      Code = 404
	AddressInUse       Code = 405

	StoreUnavailable  Code = 501
	StoreConflict     Code = 502
	StoreAnswerLost   Code = 503
	StoreTooLarge     Code = 504
	StoreLeaseExpired Code = 505
	StoreCompacted    Code = 506
	StoreNotFound     Code = 507

	StaleGeneration Code = 601
	StaleStamp      Code = 602
	OutOfService    Code = 603
	Leaving         Code = 604
	AlreadyStarted  Code = 605
	NoFreeSlot      Code = 606
	NotOwner        Code = 607
	StaleFence      Code = 608
	PeerSilent      Code = 609
	LeaseLapsed     Code = 610
	Internal        Code = 699
)

// Info describes one code.
type Info struct {
	Code Code
	// Name is the name of the constant.
	Name string
	// Text is a short sentence for people.
	Text string
	// Effect is what the code says about the work.
	Effect Effect
	// Retryable reports whether sending the same submission ID again may give
	// another answer.
	Retryable bool `json:"Retry"`
	// HTTPStatus is the status of an HTTP response with the code.
	HTTPStatus int `json:"HTTP"`
}

var table = []Info{
	{OK, "OK", "Done.", EffectDone, false, http.StatusOK},
	{Malformed, "Malformed", "The request could not be read.", EffectNotRun, false, http.StatusBadRequest},
	{BadSubmissionID, "BadSubmissionID", "The submission id is not a time-ordered UUID (version 7).", EffectNotRun, false, http.StatusBadRequest},
	{TooLarge, "TooLarge", "The request is larger than the limit.", EffectNotRun, false, http.StatusRequestEntityTooLarge},
	{UnknownTeam, "UnknownTeam", "The team has no quota.", EffectNotRun, true, http.StatusForbidden},
	{OverQuota, "OverQuota", "The team's quota is used up.", EffectNotRun, true, http.StatusTooManyRequests},
	{QueueFull, "QueueFull", "The queue is full.", EffectNotRun, true, http.StatusServiceUnavailable},
	{DeadlinePassed, "DeadlinePassed", "The deadline passed before any task started.", EffectNotRun, false, http.StatusGatewayTimeout},
	{CannotRun, "CannotRun", "No endpoint that the team may use could ever run the job.", EffectNotRun, false, http.StatusUnprocessableEntity},
	{Cancelled, "Cancelled", "The job was cancelled before any task started.", EffectNotRun, false, http.StatusConflict},
	{NoOwner, "NoOwner", "No owner of the job's cell answered; this entry started nothing, send the same id again.", EffectMayHaveRun, true, http.StatusServiceUnavailable},
	{ShuttingDown, "ShuttingDown", "The entry is shutting down; it started nothing, send the same id through another.", EffectMayHaveRun, true, http.StatusServiceUnavailable},
	{IDFromFuture, "IDFromFuture", "The submission id's time lies ahead of the entry's clock.", EffectNotRun, true, http.StatusBadRequest},
	{Unauthorized, "Unauthorized", "The token is missing or unknown.", EffectNotRun, false, http.StatusUnauthorized},
	{Forbidden, "Forbidden", "The token does not allow this.", EffectNotRun, false, http.StatusForbidden},
	{NotFound, "NotFound", "Nothing is known under this name.", EffectNone, true, http.StatusNotFound},
	{Overloaded, "Overloaded", "The job cannot be done before its deadline under the present load.", EffectNotRun, true, http.StatusServiceUnavailable},
	{EntryUnreachable, "EntryUnreachable", "No entry could be reached; nothing was sent.", EffectNotRun, true, http.StatusServiceUnavailable},
	{NoPolicy, "NoPolicy", "The process has no configuration yet.", EffectNotRun, true, http.StatusServiceUnavailable},
	{NoEndpoint, "NoEndpoint", "No endpoint of the service takes tasks now.", EffectNotRun, true, http.StatusServiceUnavailable},
	{NotListed, "NotListed", "Other dispatchers can't find this one yet, so a cancel might not reach the job.", EffectNotRun, true, http.StatusServiceUnavailable},

	{TaskFailed, "TaskFailed", "A task ran and failed.", EffectMayHaveRun, false, http.StatusBadGateway},
	{OutcomeUnknown, "OutcomeUnknown", "The outcome is unknown; nothing is started again.", EffectMayHaveRun, false, http.StatusBadGateway},
	{DeadlineAfterStart, "DeadlineAfterStart", "The deadline passed after a task had started.", EffectMayHaveRun, false, http.StatusGatewayTimeout},
	{CancelledAfterStart, "CancelledAfterStart", "The job was cancelled after a task had started.", EffectMayHaveRun, false, http.StatusConflict},
	{AnswerExpired, "AnswerExpired", "The job has ended and its answer is no longer held.", EffectMayHaveRun, false, http.StatusGone},
	{IDConflict, "IDConflict", "The submission id belongs to another job.", EffectMayHaveRun, false, http.StatusConflict},
	{EndpointUnreachable, "EndpointUnreachable", "The endpoint refused the connection; the task did not start.", EffectNotRun, true, http.StatusBadGateway},
	{EndpointGone, "EndpointGone", "The endpoint's process has been replaced; what ran there is lost.", EffectMayHaveRun, true, http.StatusBadGateway},
	{StillRunning, "StillRunning", "The job was given up after a task had started; it may be sent again.", EffectMayHaveRun, true, http.StatusGatewayTimeout},

	{CommandRefused, "CommandRefused", "The command was refused.", EffectNone, false, http.StatusUnprocessableEntity},
	{CommandConflict, "CommandConflict", "Another command came first.", EffectNone, true, http.StatusConflict},
	{CommandUnconfirmed, "CommandUnconfirmed", "It is not confirmed that the command is in force everywhere.", EffectNone, true, http.StatusAccepted},
	{QuerySyntax, "QuerySyntax", "The query could not be parsed.", EffectNone, false, http.StatusBadRequest},
	{QueryField, "QueryField", "The query names an unknown field or value.", EffectNone, false, http.StatusBadRequest},

	{SettingsUnreadable, "SettingsUnreadable", "The settings file could not be read.", EffectNone, false, http.StatusBadRequest},
	{SettingsSyntax, "SettingsSyntax", "The settings file is not JSON with comments.", EffectNone, false, http.StatusBadRequest},
	{SettingsField, "SettingsField", "The settings file has an unknown or repeated field.", EffectNone, false, http.StatusBadRequest},
	{SettingsValue, "SettingsValue", "A setting has a bad value.", EffectNone, false, http.StatusBadRequest},
	{AddressInUse, "AddressInUse", "The address is in use or cannot be bound.", EffectNone, false, http.StatusInternalServerError},

	{StoreUnavailable, "StoreUnavailable", "The store did not answer.", EffectNone, true, http.StatusServiceUnavailable},
	{StoreConflict, "StoreConflict", "The store holds another revision.", EffectNone, true, http.StatusConflict},
	{StoreAnswerLost, "StoreAnswerLost", "The store's answer was lost; the write may have taken effect.", EffectNone, true, http.StatusServiceUnavailable},
	{StoreTooLarge, "StoreTooLarge", "The value is larger than the store takes.", EffectNone, false, http.StatusRequestEntityTooLarge},
	{StoreLeaseExpired, "StoreLeaseExpired", "The lease has expired.", EffectNone, true, http.StatusGone},
	{StoreCompacted, "StoreCompacted", "The store no longer holds the changes asked for.", EffectNone, true, http.StatusGone},
	{StoreNotFound, "StoreNotFound", "The store has no such key.", EffectNone, false, http.StatusNotFound},

	{StaleGeneration, "StaleGeneration", "The agent obeys a newer owner.", EffectNotRun, true, http.StatusConflict},
	{StaleStamp, "StaleStamp", "The agent's last confirmation is too old to start work.", EffectNotRun, true, http.StatusConflict},
	{OutOfService, "OutOfService", "The endpoint or its failure domain is out of service.", EffectNotRun, true, http.StatusConflict},
	{Leaving, "Leaving", "The endpoint is leaving.", EffectNotRun, true, http.StatusConflict},
	{AlreadyStarted, "AlreadyStarted", "The task has been started before.", EffectMayHaveRun, false, http.StatusConflict},
	{NoFreeSlot, "NoFreeSlot", "The endpoint has no free slot.", EffectNotRun, true, http.StatusConflict},
	{NotOwner, "NotOwner", "The entry does not own the cell.", EffectNotRun, true, http.StatusMisdirectedRequest},
	{StaleFence, "StaleFence", "The endpoint has seen a higher fencing token.", EffectNotRun, true, http.StatusConflict},
	{PeerSilent, "PeerSilent", "The other process sends nothing.", EffectNone, true, http.StatusServiceUnavailable},
	{LeaseLapsed, "LeaseLapsed", "The runner has not heard the dispatcher for as long as its lease lasts.", EffectNotRun, true, http.StatusConflict},
	{Internal, "Internal", "An internal check failed.", EffectMayHaveRun, false, http.StatusInternalServerError},
}

// Table returns all codes in ascending order.
func Table() []Info { return slices.Clone(table) }

// Describe returns the table entry of c. A code that is not in the table is
// described as unknown, with an effect that does not rule out that the work
// ran.
func Describe(c Code) Info {
	i, ok := slices.BinarySearchFunc(table, c, compareCode)
	if !ok {
		return Info{Code: c, Name: "Unknown", Text: "Unknown code.", Effect: EffectMayHaveRun, HTTPStatus: http.StatusInternalServerError}
	}
	return table[i]
}

// Known reports whether c is in the table.
func Known(c Code) bool {
	_, ok := slices.BinarySearchFunc(table, c, compareCode)
	return ok
}

func compareCode(in Info, c Code) int { return int(in.Code) - int(c) }

// NotRun reports whether c promises that the work did not run.
func (c Code) NotRun() bool { return Describe(c).Effect == EffectNotRun }

// String returns the number and the name.
func (c Code) String() string { return fmt.Sprintf("%d %s", uint32(c), Describe(c).Name) }
