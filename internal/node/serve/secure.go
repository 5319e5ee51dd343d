package serve

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"

	"github.com/eelgrassfold/eelgrassfold/internal/config/settings"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/caller"
)

// hashPrefix is the prefix of a password that is stored as a hash.
const hashPrefix = "pbkdf2-sha256$"

// callerTLS returns the TLS configuration for callers' connections, or nil if
// files names no certificate.
func callerTLS(files settings.TLSFiles) (*tls.Config, error) {
	if !files.IsSet() {
		return nil, nil
	}
	return loadTLS(files)
}

// peerTLS returns the TLS configuration for links between instances, or nil if
// files names no certificate. Both ends must present a certificate that the
// certificate authority has signed.
func peerTLS(files settings.TLSFiles) (*tls.Config, error) {
	if !files.IsSet() {
		return nil, nil
	}
	config, err := loadTLS(files)
	if err != nil {
		return nil, err
	}
	authority, err := os.ReadFile(files.CAFile)
	if err != nil {
		return nil, &CertificateError{Path: files.CAFile, Reason: err.Error()}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, &CertificateError{Path: files.CAFile, Reason: "contains no certificate"}
	}
	config.RootCAs = pool
	config.ClientCAs = pool
	config.ClientAuth = tls.RequireAndVerifyClientCert
	return config, nil
}

func loadTLS(files settings.TLSFiles) (*tls.Config, error) {
	certificate, err := tls.LoadX509KeyPair(files.CertificateFile, files.PrivateKeyFile)
	if err != nil {
		return nil, &CertificateError{Path: files.CertificateFile, Reason: err.Error()}
	}
	return &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}, nil
}

// loadUsers loads the passwords of the users who may connect. A password may be
// stored as its hash.
func loadUsers(users []settings.User) (caller.Users, error) {
	loaded := caller.Users{}
	for _, user := range users {
		hash, err := loadPassword(user.Password)
		if err != nil {
			return nil, err
		}
		loaded[model.CallerID(user.Name)] = hash
	}
	return loaded, nil
}

func loadPassword(secret settings.SecretReference) (caller.PasswordHash, error) {
	text, err := secret.Load()
	if err != nil {
		return caller.PasswordHash{}, err
	}
	if strings.HasPrefix(text, hashPrefix) {
		return caller.ParsePasswordHash(text)
	}
	return caller.NewPasswordHash(text)
}
