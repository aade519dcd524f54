/**
 * Narrow interfaces to the platform's services and to the model engines.
 */
package io.sequoialink.remote;
