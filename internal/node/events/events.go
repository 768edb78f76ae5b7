// Package events defines all log events. The number of an event never changes;
// docs/EVENTS.md explains each event and what an operator should do about it.
package events

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Event is one kind of log line, with its fixed number, name and level.
type Event struct {
	Number int
	Name   string
	Level  zapcore.Level
}

// Log writes the event with the given fields and its number.
func (ev Event) Log(log *zap.Logger, fields ...zap.Field) {
	if entry := log.Check(ev.Level, ev.Name); entry != nil {
		entry.Write(append(fields, zap.Int("event", ev.Number))...)
	}
}

// The events by subject: numbers from 100 are about the process itself, 200 the
// platform, 300 peers, 400 servers, 500 requests and 600 settings.
var (
	Started             = Event{101, "started", zapcore.InfoLevel}
	Leaving             = Event{102, "leaving", zapcore.InfoLevel}
	Draining            = Event{103, "draining", zapcore.InfoLevel}
	Stopped             = Event{104, "stopped", zapcore.InfoLevel}
	Paused              = Event{105, "paused", zapcore.WarnLevel}
	StopCutShort        = Event{106, "stop_cut_short", zapcore.ErrorLevel}
	SettingsReloaded    = Event{107, "settings_reloaded", zapcore.InfoLevel}
	SettingsNotReloaded = Event{108, "settings_not_reloaded", zapcore.ErrorLevel}

	WatchFailed         = Event{201, "watch_failed", zapcore.WarnLevel}
	OlderObjectRefused  = Event{202, "older_object_refused", zapcore.WarnLevel}
	BadObjectRefused    = Event{203, "bad_object_refused", zapcore.ErrorLevel}
	StaleStore          = Event{204, "stale_store", zapcore.WarnLevel}
	ReceiptsDropped     = Event{205, "receipts_dropped", zapcore.ErrorLevel}
	ReceiptsWriteFailed = Event{206, "receipts_write_failed", zapcore.WarnLevel}
	ClaimsSwept         = Event{207, "claims_swept", zapcore.InfoLevel}
	ZoneEvacuated       = Event{208, "zone_evacuated", zapcore.WarnLevel}
	ZoneTakenBack       = Event{209, "zone_taken_back", zapcore.InfoLevel}
	StoreRestored       = Event{210, "store_restored", zapcore.WarnLevel}
	WatchLate           = Event{211, "watch_late", zapcore.WarnLevel}
	WatchResumed        = Event{212, "watch_resumed", zapcore.InfoLevel}

	PeerFailed          = Event{301, "peer_failed", zapcore.WarnLevel}
	PeerJoined          = Event{302, "peer_joined", zapcore.InfoLevel}
	PeerSilent          = Event{303, "peer_silent", zapcore.WarnLevel}
	Isolated            = Event{304, "isolated", zapcore.ErrorLevel}
	Confirmed           = Event{305, "confirmed", zapcore.InfoLevel}
	PulledFromPeer      = Event{306, "pulled_from_peer", zapcore.InfoLevel}
	RosterChanged       = Event{307, "roster_changed", zapcore.InfoLevel}
	RosterFailed        = Event{308, "roster_failed", zapcore.WarnLevel}
	ServerLeaving       = Event{401, "server_leaving", zapcore.InfoLevel}
	ServerLostToRequest = Event{402, "server_lost_to_request", zapcore.ErrorLevel}
	Quarantined         = Event{403, "request_quarantined", zapcore.ErrorLevel}
	LibraryMessage      = Event{404, "library", zapcore.WarnLevel}
	ServerBackOff       = Event{405, "server_back_off", zapcore.WarnLevel}
	ServersCold         = Event{406, "servers_cold", zapcore.InfoLevel}

	AnswerPartial = Event{501, "answer_partial", zapcore.WarnLevel}
	AnswerRefused = Event{502, "answer_refused", zapcore.WarnLevel}
	AnswerUnknown = Event{503, "answer_unknown", zapcore.ErrorLevel}
	AnswerWhole   = Event{504, "answer_whole", zapcore.InfoLevel}
	OverLimit     = Event{505, "over_limit", zapcore.WarnLevel}

	CallersRefused = Event{506, "callers_refused", zapcore.WarnLevel}

	SettingAccepted = Event{601, "setting_accepted", zapcore.InfoLevel}
	SettingRefused  = Event{602, "setting_refused", zapcore.WarnLevel}
	TableInForce    = Event{603, "table_in_force", zapcore.InfoLevel}
	KeysRefused     = Event{604, "keys_refused", zapcore.ErrorLevel}
	KeysAccepted    = Event{605, "keys_accepted", zapcore.InfoLevel}
)

// All returns all events, ordered by number.
func All() []Event {
	return []Event{
		Started, Leaving, Draining, Stopped, Paused, StopCutShort, SettingsReloaded, SettingsNotReloaded,
		WatchFailed, OlderObjectRefused, BadObjectRefused, StaleStore, ReceiptsDropped, ReceiptsWriteFailed, ClaimsSwept,
		ZoneEvacuated, ZoneTakenBack, StoreRestored, WatchLate, WatchResumed,
		PeerFailed, PeerJoined, PeerSilent, Isolated, Confirmed, PulledFromPeer, RosterChanged, RosterFailed,
		ServerLeaving, ServerLostToRequest, Quarantined, LibraryMessage, ServerBackOff, ServersCold,
		AnswerPartial, AnswerRefused, AnswerUnknown, AnswerWhole, OverLimit, CallersRefused,
		SettingAccepted, SettingRefused, TableInForce, KeysRefused, KeysAccepted,
	}
}
