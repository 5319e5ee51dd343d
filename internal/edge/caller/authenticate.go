package caller

import (
	"crypto/pbkdf2"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"net"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

const (
	// hashScheme begins a password hash.
	hashScheme = "pbkdf2-sha256"
	// hashRounds is the number of rounds of a new hash.
	hashRounds = 60_000
	// hashRoundsMost bounds the rounds of a hash that is read.
	hashRoundsMost = 10_000_000
	// saltSize and hashSize are in bytes.
	saltSize = 16
	hashSize = 32
)

// Users maps the names of those who may connect to their password hashes.
type Users map[model.CallerID]PasswordHash

// PasswordHash is what is kept of a password.
type PasswordHash struct {
	rounds int
	salt   []byte
	hash   []byte
}

// PasswordHashError reports text that is not a password hash.
type PasswordHashError struct{ Detail string }

// Error implements error.
func (e *PasswordHashError) Error() string { return "password hash: " + e.Detail }

// NewPasswordHash hashes a password with a new salt.
func NewPasswordHash(password string) (PasswordHash, error) {
	salt := make([]byte, saltSize)
	_, err := rand.Read(salt)
	if err != nil {
		return PasswordHash{}, err
	}
	hash, err := pbkdf2.Key(sha256.New, password, salt, hashRounds, hashSize)
	return PasswordHash{rounds: hashRounds, salt: salt, hash: hash}, err
}

// ParsePasswordHash reads the form that String writes. Its error is a
// *PasswordHashError.
func ParsePasswordHash(text string) (PasswordHash, error) {
	fields := strings.Split(text, "$")
	if len(fields) != 4 || fields[0] != hashScheme {
		return PasswordHash{}, &PasswordHashError{Detail: "expected " + hashScheme + "$ROUNDS$SALT$HASH"}
	}
	rounds, err := strconv.Atoi(fields[1])
	if err != nil || rounds < 1 || rounds > hashRoundsMost {
		return PasswordHash{}, &PasswordHashError{Detail: "bad number of rounds"}
	}
	salt, err := base64.RawStdEncoding.DecodeString(fields[2])
	if err != nil || len(salt) < saltSize {
		return PasswordHash{}, &PasswordHashError{Detail: "bad salt"}
	}
	hash, err := base64.RawStdEncoding.DecodeString(fields[3])
	if err != nil || len(hash) != hashSize {
		return PasswordHash{}, &PasswordHashError{Detail: "bad hash"}
	}
	return PasswordHash{rounds: rounds, salt: salt, hash: hash}, nil
}

// String formats h as "pbkdf2-sha256$ROUNDS$SALT$HASH".
func (h PasswordHash) String() string {
	return strings.Join([]string{
		hashScheme,
		strconv.Itoa(h.rounds),
		base64.RawStdEncoding.EncodeToString(h.salt),
		base64.RawStdEncoding.EncodeToString(h.hash),
	}, "$")
}

// matches reports whether password is the one that was hashed, in a time that
// does not depend on where they differ.
func (h PasswordHash) matches(password string) bool {
	hash, err := pbkdf2.Key(sha256.New, password, h.salt, h.rounds, hashSize)
	return err == nil && subtle.ConstantTimeCompare(hash, h.hash) == 1
}

// unknownUser takes the place of a user that does not exist, so that the answer
// takes as long.
var unknownUser = PasswordHash{rounds: hashRounds, salt: make([]byte, saltSize), hash: make([]byte, hashSize)}

// check finds settings that don't go together.
func (o Options) check() error {
	if o.RequireTLS && o.TLS == nil {
		return &OptionsError{Detail: "TLS is required but there is no certificate"}
	}
	if o.IdempotencyKeyPrefix == "" {
		return &OptionsError{Detail: "no beginning of keys"}
	}
	return nil
}

// authenticate asks a caller for its password. Without TLS it is asked over
// loopback only: it would be readable on any other path.
func (e *Server) authenticate(h *hello) *problem {
	user := h.startup.Parameters["user"]
	if user == "" {
		return &problem{state: stateInvalidAuth, message: "no user name given", fatal: true}
	}
	if e.options.RequireTLS && !h.secured {
		return &problem{state: stateInvalidAuth, message: "TLS is required", fatal: true}
	}
	if e.options.Trust {
		return nil
	}
	if len(e.options.Users) == 0 {
		return &problem{state: stateInvalidAuth, message: "no users are configured", fatal: true}
	}
	if !h.secured && !isLoopback(h.conn) {
		return &problem{state: stateInvalidAuth, message: "TLS is required for a password", fatal: true}
	}
	password, err := h.askPassword()
	if err != nil {
		return &problem{state: stateProtocolViolation, message: "expected a password", fatal: true}
	}
	hash, known := e.options.Users[model.CallerID(user)]
	if !known {
		hash = unknownUser
	}
	if !hash.matches(password) || !known {
		return &problem{
			state:   stateInvalidPassword,
			message: "password authentication failed for user " + quoted(user),
			fatal:   true,
		}
	}
	return nil
}

func (h *hello) askPassword() (string, error) {
	question, _ := (&pgproto3.AuthenticationCleartextPassword{}).Encode(nil)
	_, err := h.conn.Write(question)
	if err != nil {
		return "", err
	}
	frame, err := h.reader.Next()
	if err != nil {
		return "", err
	}
	if frame.Type != 'p' {
		return "", &ProtocolError{Detail: "expected a password"}
	}
	var answer pgproto3.PasswordMessage
	err = answer.Decode(frame.Body())
	return answer.Password, err
}

func isLoopback(conn net.Conn) bool {
	address, ok := conn.RemoteAddr().(*net.TCPAddr)
	return ok && address.IP.IsLoopback()
}
